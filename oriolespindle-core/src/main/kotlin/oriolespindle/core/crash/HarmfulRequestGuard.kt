package oriolespindle.core.crash

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds out what requests under which endpoints end have in common, and tells which requests to reject.
 *
 * The load that it answers: requests that are all different share one part of their prompts, come at any instance, and
 * each one ends the endpoint that begins to answer it; requests that share everything else with them are sound. A
 * request that is repeated is the same case, with its whole content as the trait.
 *
 * A trait is suspected at each end of an endpoint that had not begun to answer a request with it. The suspicion ends
 * when any endpoint begins to answer such a request, since a harmful one is never answered. A trait that is suspected
 * at [HarmfulRequestSettings.maxCrashes] ends that were not simultaneous is rejected, together with the traits that
 * were in all its requests; so what sound requests share with harmful ones is not rejected by itself. A trait of which
 * requests were answered before is rejected only after more ends that no other rejection explains.
 *
 * An answer that is begun does not prove a request sound, since its endpoint may end later in the answer. So a content
 * is also rejected after [HarmfulRequestSettings.maxCrashesOfBegun] ends that no other rejection explains if no request
 * with it was ever answered completely. So is a part of prompts, if several requests with it were in progress at as
 * many ends since one was last answered completely, by a single run. A popular part may be in progress wherever
 * endpoints end. A part that was never completed, or is at more ends, explains them better, and others are not blamed
 * for the same ends.
 *
 * A process that is silent and out of reach counts as ended for a short time, unless it sends something or its end is
 * confirmed. Such ends count only against traits of which no request was ever answered, or completed if the answers
 * were begun, since an instance that is cut off from many endpoints must not reject what others serve.
 *
 * Each instance decides alone, by the reports of all. Confined to one thread.
 */
public class HarmfulRequestGuard(
    private val settings: HarmfulRequestSettings = HarmfulRequestSettings(),
) {
    private val crashes = LinkedHashMap<EndpointProcess, RecordedCrash>()

    /** The [crashes] by the traits of their requests. */
    private val crashesByTrait = HashMap<RequestTrait, LinkedHashSet<RecordedCrash>>()

    /** The [crashes] by the contents of all their requests, also of those that were begun to be answered. */
    private val crashesByContent = HashMap<RequestTrait, LinkedHashSet<RecordedCrash>>()

    /** The [crashes] by the parts of requests that were begun to be answered, unless one was completed since. */
    private val crashesByBegunPart = HashMap<RequestTrait, LinkedHashSet<RecordedCrash>>()

    /** When requests with a trait were last begun to be answered; null if only another instance has seen so. */
    private val answeredAt =
        object : LinkedHashMap<RequestTrait, Timestamp?>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<RequestTrait, Timestamp?>): Boolean =
                size > settings.maxKnownTraits
        }

    /** When requests with a trait were last answered completely; contents only while ends are remembered. */
    private val completedAt =
        object : LinkedHashMap<RequestTrait, Timestamp>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<RequestTrait, Timestamp>): Boolean =
                size > settings.maxKnownTraits
        }

    /** The sets of traits such that a request with all traits of one is rejected. */
    public var rejections: Set<Set<RequestTrait>> = emptySet()
        private set

    /** Whether no end of an endpoint is remembered. */
    public val isIdle: Boolean get() = crashes.isEmpty()

    /** Returns the traits because of which a request with [traits] is rejected, or null if it is not. */
    public fun rejection(traits: Set<RequestTrait>): Set<RequestTrait>? = rejections.firstOrNull(traits::containsAll)

    /**
     * Returns whether a request with [traits] must not run again before it is known whether its endpoint has ended.
     *
     * That is so if an endpoint has ended under its content, or if one more end would have a part of it rejected.
     */
    public fun isSuspected(traits: Set<RequestTrait>): Boolean =
        traits.any { trait ->
            if (trait.isContent) {
                trait in crashesByContent && trait !in completedAt
            } else {
                countMoments(incompleteAt(trait)) >= settings.maxCrashesOfBegun - 1
            }
        }

    /** Returns how long requests with all traits of [rejection] are rejected from [now] on, unless more ends follow. */
    public fun rejectedFor(
        now: Timestamp,
        rejection: Set<RequestTrait>,
    ): Duration {
        val explained = crashes.values.filter { it.isExplainedBy(setOf(rejection)) }
        val (confirmed, silences) = explained.partition { it.isConfirmed }
        val deciding = if (confirmed.size >= settings.maxCrashes) confirmed else silences
        val last = deciding.maxOfOrNull { it.at + retention(it.isConfirmed) } ?: return Duration.ZERO
        return (last - now).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the ends of endpoints that [rejection] explains. */
    public fun evidence(rejection: Set<RequestTrait>): List<EndpointProcess> =
        crashes.values.filter { it.isExplainedBy(setOf(rejection)) }.map { it.process }

    /** Records that an endpoint begins to answer a request with [traits]; returns those that were suspected. */
    public fun onAnswered(
        now: Timestamp,
        traits: Set<RequestTrait>,
    ): Set<RequestTrait> {
        val suspected = if (isIdle) emptySet() else traits.filterTo(LinkedHashSet()) { suspectedAt(it).isNotEmpty() }
        traits.forEach { answeredAt[it] = now }
        if (suspected.isNotEmpty()) judge()
        return suspected
    }

    /**
     * Records that a request was answered completely; returns those of [traits] against which ends were held.
     *
     * A request that was answered by several runs is no proof for the parts of its prompt, since one of the endpoints
     * may have ended under it; [traits] then has its content only.
     */
    public fun onCompleted(
        now: Timestamp,
        traits: Set<RequestTrait>,
    ): Set<RequestTrait> {
        val suspected =
            traits.filterTo(LinkedHashSet()) { it in crashesByContent || it in crashesByBegunPart }
        if (traits.count { clear(now, it) } > 0) judge()
        return suspected
    }

    /** Records that a request with [trait] was completed; returns whether that may change what is rejected. */
    private fun clear(
        now: Timestamp,
        trait: RequestTrait,
    ): Boolean {
        completedAt[trait] = now
        val cleared = (if (trait.isContent) crashesByContent[trait] else crashesByBegunPart.remove(trait)).orEmpty()
        return cleared.size >= settings.maxCrashesOfBegun
    }

    /**
     * Records the end of [process] at [at], which had not begun to answer the requests with the traits in [unanswered],
     * and had not completed the answers to those with the traits in [begun].
     */
    public fun onCrash(
        at: Timestamp,
        process: EndpointProcess,
        unanswered: List<Set<RequestTrait>>,
        begun: List<Set<RequestTrait>> = emptyList(),
    ) {
        record(at, CrashReport.of(process, unanswered, begun))
        judge()
    }

    /** Records that [process] has been silent and out of reach since [at]; see [onCrash]. */
    public fun onSilent(
        at: Timestamp,
        process: EndpointProcess,
        unanswered: List<Set<RequestTrait>>,
        begun: List<Set<RequestTrait>> = emptyList(),
    ) {
        record(at, CrashReport.of(process, unanswered, begun, isConfirmed = false))
        judge()
    }

    /** Returns whether [process] is known as silent and out of reach, and is not known to have ended. */
    public fun isSilent(process: EndpointProcess): Boolean = crashes[process]?.isConfirmed == false

    /** Records that [process] has sent something, so that its silence was not its end. */
    public fun onSignOfLife(process: EndpointProcess) {
        if (isSilent(process)) forget(listOf(process))
    }

    /** Merges the [news] of another instance; returns what only this one knows in favour of suspected traits. */
    public fun merge(
        now: Timestamp,
        news: CrashNews,
    ): CrashNews {
        val reported = news.crashes.flatMapTo(LinkedHashSet()) { it.unanswered.flatten() }
        val knownHere = reported.filterTo(LinkedHashSet()) { it !in news.known && it in answeredAt }
        val completedSince = news.crashes.flatMapTo(LinkedHashSet()) { partsCompletedSince(now, it) }
        news.known.forEach { if (it !in answeredAt) answeredAt[it] = null }
        val isChanged = news.crashes.count { record(now, it) } > 0
        news.answered.forEach { answeredAt[it] = now }
        val isCleared = news.completed.count { clear(now, it) } > 0
        if (isCleared || isChanged || news.known.isNotEmpty() || news.answered.isNotEmpty()) judge()
        return CrashNews(known = knownHere, completed = completedSince)
    }

    /** Returns the parts of begun requests in [report] of which requests were completed after that end. */
    private fun partsCompletedSince(
        now: Timestamp,
        report: CrashReport,
    ): List<RequestTrait> {
        val at = report.endedAt(now)
        return report.begunRequests.flatten().filter { part -> completedAt[part]?.let { it > at } ?: false }
    }

    /** Forgets the ends of [processes] and thereby lifts the rejections that rest on them. */
    public fun forget(processes: Collection<EndpointProcess>) {
        if (crashes.keys.removeAll(processes.toSet())) onCrashesRemoved()
        judge()
    }

    /** Drops what is older than [HarmfulRequestSettings.retention], and silences that were not confirmed. */
    public fun expire(now: Timestamp) {
        dropCompletedSince()
        if (!crashes.values.removeIf { now - it.at > retention(it.isConfirmed) }) return
        onCrashesRemoved()
        judge()
    }

    /** Drops the begun requests that are no evidence any more, which most are soon after an end. */
    private fun dropCompletedSince() {
        for (crash in crashes.values) {
            crash.begunRequests.removeIf { request -> request.none { isOpen(it, crash) } }
        }
    }

    /** Whether no request with [part] was completed since [crash]. */
    private fun isOpen(
        part: RequestTrait,
        crash: RecordedCrash,
    ): Boolean = !part.isContent && completedAt[part]?.let { it < crash.at } ?: true

    /** Returns the known ones of [traits]. */
    public fun known(traits: Collection<RequestTrait>): Set<RequestTrait> =
        traits.filterTo(LinkedHashSet()) { it in answeredAt }

    /**
     * Returns what must not be lost with this process: the ends of endpoints at which some trait was suspected for at
     * least the second time.
     */
    public fun lastingNews(now: Timestamp): CrashNews {
        val repeated = crashesByTrait.filterValues { it.size >= MIN_REPEATED }.keys.filterTo(HashSet(), ::isRepeated)
        val contents = crashesByContent.keys.filterTo(HashSet(), ::isRepeatedContent)
        val begunParts = crashesByBegunPart.keys.filterTo(HashSet(), ::isRepeatedPart)
        if (repeated.isEmpty() && contents.isEmpty() && begunParts.isEmpty()) return CrashNews()
        val reports =
            crashes.values.mapNotNull { crash ->
                val requests = crash.requests.filter { request -> request.any { it in repeated || it in begunParts } }
                val begun = crash.begun.filterTo(LinkedHashSet()) { it in contents }
                val begunRequests = crash.begunRequests.filter { request -> request.any { it in begunParts } }
                val age = (now - crash.at).inWholeMilliseconds
                CrashReport(crash.process, requests, age, begun, crash.isConfirmed, begunRequests)
                    .takeIf { requests.isNotEmpty() || begun.isNotEmpty() || begunRequests.isNotEmpty() }
            }
        return CrashNews(reports, known(reports.flatMap { it.unanswered.flatten() }))
    }

    private fun retention(isConfirmed: Boolean): Duration =
        if (isConfirmed) settings.retention else settings.silenceRetention

    private fun isRepeated(trait: RequestTrait): Boolean =
        trait !in answeredAt && countMoments(suspectedAt(trait)) >= MIN_REPEATED

    private fun isRepeatedContent(content: RequestTrait): Boolean =
        areRepeated(crashesByContent[content].orEmpty()) && content !in completedAt

    private fun isRepeatedPart(part: RequestTrait): Boolean = areRepeated(incompleteAt(part))

    private fun areRepeated(crashes: Collection<RecordedCrash>): Boolean =
        crashes.size >= MIN_REPEATED && countMoments(crashes) >= MIN_REPEATED

    /** Records the end in [report]; returns whether anything of it was not known. */
    private fun record(
        now: Timestamp,
        report: CrashReport,
    ): Boolean {
        val at = report.endedAt(now)
        if (now - at > retention(report.isConfirmed)) return false
        val isNew = report.process !in crashes
        val crash = crashes.getOrPut(report.process) { RecordedCrash(report.process, at) }
        val isNewlyConfirmed = report.isConfirmed && !crash.isConfirmed
        crash.isConfirmed = crash.isConfirmed || report.isConfirmed
        val added = addUnanswered(crash, report) + addBegunContents(crash, report) + addBegunRequests(crash, report)
        if (crashes.size > settings.maxRecordedCrashes) dropOldestUnexplained()
        return isNew || isNewlyConfirmed || added > 0
    }

    private fun addUnanswered(
        crash: RecordedCrash,
        report: CrashReport,
    ): Int {
        val room = maxOf(settings.maxRequestsPerCrash - crash.requests.size, 0)
        val added = report.unanswered.filter { it !in crash.requests }.take(room)
        for (request in added) {
            crash.requests += request
            request.forEach { crashesByTrait.getOrPut(it) { LinkedHashSet() } += crash }
            request.filter { it.isContent }.forEach { crashesByContent.getOrPut(it) { LinkedHashSet() } += crash }
        }
        return added.size
    }

    private fun addBegunContents(
        crash: RecordedCrash,
        report: CrashReport,
    ): Int {
        val room = maxOf(settings.maxRequestsPerCrash - crash.begun.size, 0)
        val added = report.begun.filter { it !in crash.begun }.take(room)
        for (content in added) {
            crash.begun += content
            crashesByContent.getOrPut(content) { LinkedHashSet() } += crash
        }
        return added.size
    }

    private fun addBegunRequests(
        crash: RecordedCrash,
        report: CrashReport,
    ): Int {
        val room = maxOf(settings.maxRequestsPerCrash - crash.begunRequests.size, 0)
        val isEvidence = { request: Set<RequestTrait> -> request.any { isOpen(it, crash) } }
        val added = report.begunRequests.filter { it !in crash.begunRequests && isEvidence(it) }.take(room)
        for (request in added) {
            crash.begunRequests += request
            val open = request.filter { isOpen(it, crash) }
            open.forEach { crashesByBegunPart.getOrPut(it) { LinkedHashSet() } += crash }
        }
        return added.size
    }

    private fun dropOldestUnexplained() {
        val dropped = crashes.values.firstOrNull { !it.isExplainedBy(rejections) } ?: return
        crashes.remove(dropped.process)
        onCrashesRemoved()
    }

    private fun onCrashesRemoved() =
        listOf(crashesByTrait, crashesByContent, crashesByBegunPart).forEach { index ->
            index.values.removeIf { known ->
                known.removeIf { crashes[it.process] !== it }
                known.isEmpty()
            }
        }

    /** Returns the ends at which [trait] is suspected: those since a request with it was last answered. */
    private fun suspectedAt(trait: RequestTrait): List<RecordedCrash> {
        val since = answeredAt[trait]
        return crashesByTrait[trait].orEmpty().filter { since == null || it.at > since }
    }

    /**
     * Returns the ends at which requests with [part] were in progress and none was completed since.
     *
     * There are none unless the answer to one of these requests was begun; other parts are judged by [suspectedAt].
     */
    private fun incompleteAt(part: RequestTrait): List<RecordedCrash> {
        val begun = crashesByBegunPart[part] ?: return emptyList()
        return (begun + crashesByTrait[part].orEmpty()).filter { isOpen(part, it) }
    }

    private fun judge() {
        val repeated = crashesByTrait.filterValues { it.size >= settings.maxCrashes }.keys
        val unknown =
            repeated
                .filter { it !in answeredAt }
                .map { candidate(it, suspectedAt(it)) }
                .filter { it.count >= settings.maxCrashes }
        val specific = unknown.filterNot { candidate -> unknown.any { explainsAsWell(it, candidate) } }
        val found = specific.mapTo(LinkedHashSet()) { it.common }
        found += harmfulBegunParts(found)
        found += harmfulContents(found).map(::setOf)
        val known =
            repeated
                .filter { it in answeredAt }
                .filter { trait ->
                    val unexplained = suspectedAt(trait).filter { it.isConfirmed && !it.isExplainedBy(found) }
                    countMoments(unexplained) >= settings.maxCrashesOfKnown
                }
        found += known.map(::setOf)
        rejections = found.filterNotTo(LinkedHashSet()) { set -> found.any { it != set && set.containsAll(it) } }
    }

    /** Returns what requests have in common under which too many endpoints ended after they had begun to answer. */
    private fun harmfulBegunParts(found: Set<Set<RequestTrait>>): Set<Set<RequestTrait>> {
        // The rejection of one content does not explain what several contents have in common.
        val explained = found.filterNotTo(LinkedHashSet()) { set -> set.any { it.isContent } }
        val rejected = LinkedHashSet<Set<RequestTrait>>()
        val candidates =
            crashesByBegunPart
                .filter { (part, crashes) ->
                    crashes.size + crashesByTrait[part].orEmpty().size >= settings.maxCrashesOfBegun
                }.keys
                .map(::candidateOfBegun)
                .filter { it.count >= maxCrashes(it) }
                .sortedWith(
                    compareBy({ it.isKnownComplete }, { -it.common.size }, { -it.count }, { it.requestsPerCrash }),
                )
        for (candidate in candidates) {
            val unexplained = candidate.crashes.filterNot { it.isExplainedBy(explained + rejected) }
            if (countMoments(unexplained) >= maxCrashes(candidate)) rejected += candidate.common
        }
        return rejected
    }

    private fun maxCrashes(candidate: CrashCandidate): Int =
        if (candidate.isKnownComplete) settings.maxCrashesOfCompleted else settings.maxCrashesOfBegun

    /** Returns [part] as a candidate; one of a single request counts no ends, since its content may be rejected. */
    private fun candidateOfBegun(part: RequestTrait): CrashCandidate {
        val isKnownComplete = part in completedAt
        val crashes = incompleteAt(part).filter { it.isConfirmed || !isKnownComplete }
        val requests = crashes.flatMap { it.incomplete(part) }
        val common = requests.reduceOrNull { common, request -> common.intersect(request) }.orEmpty()
        val open = common.filterTo(LinkedHashSet()) { it.isContent || incompleteAt(it).containsAll(crashes) }
        val count = if (open.any { it.isContent }) 0 else countMoments(crashes)
        return CrashCandidate(
            crashes = crashes,
            count = count,
            common = open,
            requestsPerCrash = requests.size / maxOf(crashes.size, 1).toDouble(),
            isKnownComplete = isKnownComplete,
        )
    }

    /** Returns the contents that were never answered completely, with too many ends that [found] does not explain. */
    private fun harmfulContents(found: Set<Set<RequestTrait>>): List<RequestTrait> =
        crashesByContent
            .filter { (content, crashes) -> crashes.size >= settings.maxCrashesOfBegun && content !in completedAt }
            .filterValues { crashes ->
                val unexplained = crashes.filter { it.isConfirmed && !it.isExplainedBy(found) }
                countMoments(unexplained) >= settings.maxCrashesOfBegun
            }.keys
            .toList()

    private fun candidate(
        trait: RequestTrait,
        crashes: List<RecordedCrash>,
    ): CrashCandidate {
        val requests = crashes.flatMap { crash -> crash.requests.filter { trait in it } }
        val common = requests.reduceOrNull { common, request -> common.intersect(request) }.orEmpty()
        return CrashCandidate(crashes, countMoments(crashes), common.filterTo(LinkedHashSet()) { it !in answeredAt })
    }

    /** Whether [other] explains the same ends as [candidate] and would have fewer requests rejected. */
    private fun explainsAsWell(
        other: CrashCandidate,
        candidate: CrashCandidate,
    ): Boolean =
        other.common.size > candidate.common.size && other.common.containsAll(candidate.common) &&
            other.crashes.containsAll(candidate.crashes)

    /** Returns the number of [crashes], of which those that were simultaneous count as one. */
    private fun countMoments(crashes: Collection<RecordedCrash>): Int {
        var count = 0
        var moment: Timestamp? = null
        for (at in crashes.map { it.at }.sorted()) {
            val start = moment
            if (start != null && at - start < settings.simultaneousWindow) continue
            moment = at
            count++
        }
        return count
    }

    private companion object {
        const val MIN_REPEATED = 2
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
