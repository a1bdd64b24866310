package oriolespindle.core.crash

import oriolespindle.core.time.Timestamp

/** An end of an endpoint that [HarmfulRequestGuard] remembers. */
internal class RecordedCrash(
    val process: EndpointProcess,
    val at: Timestamp,
) {
    /** Whether the process has certainly ended, and is not only silent. */
    var isConfirmed = false

    /** The traits of each request that it had not begun to answer. */
    val requests = LinkedHashSet<Set<RequestTrait>>()

    /** The contents of the requests that it had begun to answer. */
    val begun = LinkedHashSet<RequestTrait>()

    /** The traits of each request that it had begun to answer, of which some part was not completed since. */
    val begunRequests = LinkedHashSet<Set<RequestTrait>>()

    /** The number of traits of all requests together that were added to it. */
    var traitCount = 0

    /** Whether a request that one of [rejections] concerns was in progress. */
    fun isExplainedBy(rejections: Collection<Set<RequestTrait>>): Boolean =
        rejections.any { rejected ->
            requests.any { it.containsAll(rejected) } || begunRequests.any { it.containsAll(rejected) } ||
                begun.containsAll(rejected)
        }
}

/** A trait that may be harmful, with the ends at which it is suspected. */
internal class CrashCandidate(
    val crashes: List<RecordedCrash>,
    /** The number of [crashes] that were not simultaneous. */
    val count: Int,
    /** The traits that were in all its requests. */
    val common: Set<RequestTrait>,
    val requestsPerCrash: Double = 1.0,
    /** Whether requests with it were completed before these ends. */
    val isKnownComplete: Boolean = false,
)
