package oriolespindle.core.crash

import kotlinx.serialization.Serializable
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** One process of an endpoint; [startedAt] tells apart processes that use the same id. */
@Serializable
public data class EndpointProcess(
    public val endpoint: EndpointId,
    public val startedAt: Long,
)

/** The end of a process of an endpoint, as an instance has observed it. */
@Serializable
public data class CrashReport(
    public val process: EndpointProcess,
    /** The traits of each request that the process had not begun to answer. */
    public val unanswered: List<Set<RequestTrait>>,
    /** The time from the end of the process to this report, in milliseconds. */
    public val ageMillis: Long = 0,
    /** The contents of the requests that the process had begun to answer and had not completed. */
    public val begun: Set<RequestTrait> = emptySet(),
    /** Whether the process has certainly ended; otherwise it is silent and may only be out of reach. */
    public val isConfirmed: Boolean = true,
    /**
     * The traits of each request that the process had begun to answer and had not completed.
     *
     * Instances of an earlier version read only their contents, from [begun].
     */
    public val begunRequests: List<Set<RequestTrait>> = emptyList(),
) {
    /** Returns when the process ended, for an instance that receives this report at [now]. */
    internal fun endedAt(now: Timestamp): Timestamp = now - ageMillis.coerceAtLeast(0).milliseconds

    public companion object {
        /** Returns a report of an end; [begun] has the traits of each request whose answer was begun. */
        public fun of(
            process: EndpointProcess,
            unanswered: List<Set<RequestTrait>>,
            begun: List<Set<RequestTrait>>,
            ageMillis: Long = 0,
            isConfirmed: Boolean = true,
        ): CrashReport =
            CrashReport(
                process = process,
                unanswered = unanswered,
                ageMillis = ageMillis,
                begun = begun.flatMapTo(LinkedHashSet()) { request -> request.filter { it.isContent } },
                isConfirmed = isConfirmed,
                begunRequests = begun.filter { request -> request.any { !it.isContent } },
            )
    }
}

/** What an instance tells the others about ends of endpoints; reports may arrive repeatedly and in any order. */
@Serializable
public data class CrashNews(
    public val crashes: List<CrashReport> = emptyList(),
    /** The traits of which the sender has seen requests answered at some time. */
    public val known: Set<RequestTrait> = emptySet(),
    /** The traits of a request that an endpoint has just begun to answer. */
    public val answered: Set<RequestTrait> = emptySet(),
    /** The traits of requests that an endpoint has answered completely. */
    public val completed: Set<RequestTrait> = emptySet(),
)
