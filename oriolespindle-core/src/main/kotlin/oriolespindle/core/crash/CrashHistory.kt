package oriolespindle.core.crash

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * Remembers ends of endpoints, and when requests with a trait were last begun to be answered and completed.
 *
 * It is bounded by the [settings] and judges nothing. Confined to one thread.
 */
internal class CrashHistory(
    private val settings: HarmfulRequestSettings,
) {
    private val byProcess = LinkedHashMap<EndpointProcess, RecordedCrash>()

    /** The ends by the traits of requests that were not begun to be answered. */
    val byUnansweredTrait = CrashIndex()

    /** The ends by the contents of all their requests, also of those that were begun to be answered. */
    val byContent = CrashIndex()

    /** The ends by the parts of requests that were begun to be answered, unless one was completed since. */
    val byBegunPart = CrashIndex()

    /** When requests with a trait were last begun to be answered; null if only another instance has seen so. */
    private val answeredAt = RecentlyUsedMap<RequestTrait, Timestamp?>(settings.maxKnownTraits)

    /** When requests with a trait were last answered completely; contents only while ends are remembered. */
    private val completedAt = RecentlyUsedMap<RequestTrait, Timestamp>(settings.maxKnownTraits)

    /** The ends in the order in which they were recorded. */
    val crashes: Collection<RecordedCrash> get() = byProcess.values

    operator fun get(process: EndpointProcess): RecordedCrash? = byProcess[process]

    fun wasAnswered(trait: RequestTrait): Boolean = trait in answeredAt

    fun wasCompleted(trait: RequestTrait): Boolean = trait in completedAt

    fun wasCompletedAfter(
        at: Timestamp,
        trait: RequestTrait,
    ): Boolean = completedAt[trait]?.let { it > at } ?: false

    /** Returns the ends at which [trait] is suspected: those since a request with it was last answered. */
    fun suspectedAt(trait: RequestTrait): List<RecordedCrash> {
        val since = answeredAt[trait]
        return byUnansweredTrait[trait].filter { since == null || it.at > since }
    }

    /**
     * Returns the ends at which requests with [part] were in progress and none was completed since.
     *
     * There are none unless the answer to one of these requests was begun; other parts are judged by [suspectedAt].
     */
    fun incompleteAt(part: RequestTrait): List<RecordedCrash> {
        if (part !in byBegunPart) return emptyList()
        return (byBegunPart[part] + byUnansweredTrait[part]).filter { isOpen(part, it) }
    }

    /** Returns the requests with [part] that were in progress at [crash], one of [incompleteAt]. */
    fun incompleteRequests(
        part: RequestTrait,
        crash: RecordedCrash,
    ): List<Set<RequestTrait>> = byUnansweredTrait.requests(part, crash) + byBegunPart.requests(part, crash)

    fun onAnswered(
        now: Timestamp,
        trait: RequestTrait,
    ) {
        answeredAt[trait] = now
    }

    /** Records that another instance has seen requests with [trait] answered at some time. */
    fun onKnownElsewhere(trait: RequestTrait) {
        if (trait !in answeredAt) answeredAt[trait] = null
    }

    /** Records that a request with [trait] was completed; returns the ends that count no more against the trait. */
    fun onCompleted(
        now: Timestamp,
        trait: RequestTrait,
    ): Set<RecordedCrash> {
        completedAt[trait] = now
        return if (trait.isContent) byContent[trait] else byBegunPart.remove(trait)
    }

    /** Records the end in [report]; returns whether anything of it was not known. */
    fun record(
        now: Timestamp,
        report: CrashReport,
    ): Boolean {
        val at = report.endedAt(now)
        if (now - at > retention(report.isConfirmed)) return false
        val isNew = report.process !in byProcess
        val crash = byProcess.getOrPut(report.process) { RecordedCrash(report.process, at) }
        val isNewlyConfirmed = report.isConfirmed && !crash.isConfirmed
        crash.isConfirmed = crash.isConfirmed || report.isConfirmed
        val isExtended = addRequests(crash, report)
        return isNew || isNewlyConfirmed || isExtended
    }

    /** Adds the requests in [report] to [crash] as far as there is room; returns whether any was added. */
    private fun addRequests(
        crash: RecordedCrash,
        report: CrashReport,
    ): Boolean {
        val unanswered = addNew(crash, crash.requests, report.unanswered)
        for (request in unanswered) {
            request.forEach { byUnansweredTrait.add(it, crash, request) }
            request.filter { it.isContent }.forEach { byContent.add(it, crash, request) }
        }
        val contents = addNew(crash.begun, report.begun)
        contents.forEach { byContent.add(it, crash, setOf(it)) }
        val begun = addNew(crash, crash.begunRequests, report.begunRequests.filter { isEvidence(it, crash) })
        for (request in begun) request.filter { isOpen(it, crash) }.forEach { byBegunPart.add(it, crash, request) }
        return unanswered.isNotEmpty() || contents.isNotEmpty() || begun.isNotEmpty()
    }

    /** Adds those of [reported] that are not in [known], which belongs to [crash], as far as there is room for them. */
    private fun addNew(
        crash: RecordedCrash,
        known: MutableSet<Set<RequestTrait>>,
        reported: Collection<Set<RequestTrait>>,
    ): List<Set<RequestTrait>> {
        var room = settings.maxTraitsPerCrash - crash.traitCount
        val fitting =
            reported.filter { request ->
                (request !in known && request.size <= room).also { isAdded -> if (isAdded) room -= request.size }
            }
        return addNew(known, fitting).also { added -> crash.traitCount += added.sumOf { it.size } }
    }

    /** Adds those of [reported] that are not in [known] yet, as far as there is room, and returns them. */
    private fun <T> addNew(
        known: MutableSet<T>,
        reported: Collection<T>,
    ): List<T> {
        val room = maxOf(settings.maxRequestsPerCrash - known.size, 0)
        return reported.filter { it !in known }.take(room).also { known += it }
    }

    /** Drops the oldest ends that are not [isNeeded] while more are remembered than the settings allow. */
    fun dropExcess(isNeeded: (RecordedCrash) -> Boolean) {
        while (isExcessive()) {
            val dropped = byProcess.values.firstOrNull { !isNeeded(it) } ?: return
            forget(setOf(dropped.process))
        }
    }

    private fun isExcessive(): Boolean =
        byProcess.size > settings.maxRecordedCrashes ||
            byProcess.values.sumOf { it.traitCount } > settings.maxRecordedTraits

    /**
     * Returns [requests], the most suspect ones first, without most of those traits that are certainly not harmful.
     *
     * A trait of which no request was answered, or none completed, is always kept: what many requests have in common
     * must not be judged by a part of it. Of the others, those are kept that were not completed for the longest time.
     */
    fun mostSuspect(requests: Collection<Set<RequestTrait>>): List<Set<RequestTrait>> =
        requests
            .map { it to suspicion(it) }
            .sortedByDescending { (_, suspicion) -> suspicion }
            .map { (request, _) -> suspects(request) }

    /** Returns at how many ends the most suspect trait of [request] is held against it, counting the present one. */
    private fun suspicion(request: Set<RequestTrait>): Int =
        request.maxOfOrNull { trait ->
            val isPresentHeldAgainst = !trait.isContent && !wasAnswered(trait)
            if (wasAnswered(trait)) 0 else byUnansweredTrait[trait].size + (if (isPresentHeldAgainst) 1 else 0)
        } ?: 0

    private fun suspects(request: Set<RequestTrait>): Set<RequestTrait> {
        if (request.size <= settings.maxCompletedTraits) return request
        val (known, open) = request.partition { !it.isContent && wasAnswered(it) && wasCompleted(it) }
        val oldest = known.sortedBy { checkNotNull(completedAt[it]) }.take(settings.maxCompletedTraits)
        return open.toCollection(LinkedHashSet()).also { it += oldest }
    }

    /** Forgets the ends of [processes]. */
    fun forget(processes: Set<EndpointProcess>) {
        if (byProcess.keys.removeAll(processes)) removeFromIndexes()
    }

    /** Drops what counts no more; returns whether an end was dropped. */
    fun expire(now: Timestamp): Boolean {
        for (crash in byProcess.values) crash.begunRequests.removeIf { !isEvidence(it, crash) }
        val isDropped = byProcess.values.removeIf { now - it.at > retention(it.isConfirmed) }
        if (isDropped) removeFromIndexes()
        return isDropped
    }

    /** Returns how long an end counts. */
    fun retention(isConfirmed: Boolean): Duration = if (isConfirmed) settings.retention else settings.silenceRetention

    /** Whether some part of [request], which was begun to be answered, was not completed since [crash]. */
    private fun isEvidence(
        request: Set<RequestTrait>,
        crash: RecordedCrash,
    ): Boolean = request.any { isOpen(it, crash) }

    /** Whether no request with [part] was completed since [crash]. */
    private fun isOpen(
        part: RequestTrait,
        crash: RecordedCrash,
    ): Boolean = !part.isContent && completedAt[part]?.let { it < crash.at } ?: true

    private fun removeFromIndexes() =
        listOf(byUnansweredTrait, byContent, byBegunPart).forEach { index ->
            index.retain { byProcess[it.process] === it }
        }
}
