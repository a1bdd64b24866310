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
 * with it was ever answered completely. Parts of prompts are not, since many sound requests may have a new part in
 * common before the first of them is complete.
 *
 * A process that is silent and out of reach counts as ended for a short time, unless it sends something or its end is
 * confirmed. Such ends count only against traits of which no request was ever answered, since an instance that is cut
 * off from many endpoints must not reject what others serve.
 *
 * Each instance decides alone, by the reports of all. Confined to one thread.
 */
public class HarmfulRequestGuard(
    private val settings: HarmfulRequestSettings = HarmfulRequestSettings(),
) {
    private class Crash(
        val process: EndpointProcess,
        val at: Timestamp,
    ) {
        var isConfirmed = false
        val requests = LinkedHashSet<Set<RequestTrait>>()
        val begun = LinkedHashSet<RequestTrait>()

        fun isExplainedBy(rejections: Collection<Set<RequestTrait>>): Boolean =
            rejections.any { rejected -> requests.any { it.containsAll(rejected) } || begun.containsAll(rejected) }
    }

    /** A trait that may be harmful, with the ends at which it is suspected. */
    private class Candidate(
        val crashes: List<Crash>,
        val count: Int,
        /** The traits that were in all its requests. */
        val common: Set<RequestTrait>,
    )

    private val crashes = LinkedHashMap<EndpointProcess, Crash>()

    /** The [crashes] by the traits of their requests. */
    private val crashesByTrait = HashMap<RequestTrait, LinkedHashSet<Crash>>()

    /** The [crashes] by the contents of all their requests, also of those that were begun to be answered. */
    private val crashesByContent = HashMap<RequestTrait, LinkedHashSet<Crash>>()

    /** When requests with a trait were last begun to be answered; null if only another instance has seen so. */
    private val answeredAt =
        object : LinkedHashMap<RequestTrait, Timestamp?>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<RequestTrait, Timestamp?>): Boolean =
                size > settings.maxKnownTraits
        }

    /** The contents of requests that were answered completely while ends of endpoints were remembered. */
    private val completed =
        object : LinkedHashMap<RequestTrait, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<RequestTrait, Unit>): Boolean =
                size > settings.maxKnownTraits
        }

    /** The sets of traits such that a request with all traits of one is rejected. */
    public var rejections: Set<Set<RequestTrait>> = emptySet()
        private set

    /** Whether no end of an endpoint is remembered. */
    public val isIdle: Boolean get() = crashes.isEmpty()

    /** Returns the traits because of which a request with [traits] is rejected, or null if it is not. */
    public fun rejection(traits: Set<RequestTrait>): Set<RequestTrait>? = rejections.firstOrNull(traits::containsAll)

    /** Returns whether an endpoint has ended while it ran a request with [content], and none has completed one. */
    public fun isSuspected(content: RequestTrait): Boolean = content in crashesByContent && content !in completed

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

    /** Records that a request with [content] was answered completely; returns whether ends were held against it. */
    public fun onCompleted(content: RequestTrait): Boolean {
        completed[content] = Unit
        if (content !in crashesByContent) return false
        judge()
        return true
    }

    /**
     * Records the end of [process] at [at], which had not begun to answer the requests with the traits in [unanswered],
     * and had not completed the answers to those with the contents in [begun].
     */
    public fun onCrash(
        at: Timestamp,
        process: EndpointProcess,
        unanswered: List<Set<RequestTrait>>,
        begun: Set<RequestTrait> = emptySet(),
    ) {
        record(at, CrashReport(process, unanswered, begun = begun))
        judge()
    }

    /** Records that [process] has been silent and out of reach since [at]; see [onCrash]. */
    public fun onSilent(
        at: Timestamp,
        process: EndpointProcess,
        unanswered: List<Set<RequestTrait>>,
    ) {
        record(at, CrashReport(process, unanswered, isConfirmed = false))
        judge()
    }

    /** Returns whether [process] is known as silent and out of reach, and is not known to have ended. */
    public fun isSilent(process: EndpointProcess): Boolean = crashes[process]?.isConfirmed == false

    /** Records that [process] has sent something, so that its silence was not its end. */
    public fun onSignOfLife(process: EndpointProcess) {
        if (isSilent(process)) forget(listOf(process))
    }

    /** Merges the [news] of another instance; returns the suspected traits of which only this one knows answers. */
    public fun merge(
        now: Timestamp,
        news: CrashNews,
    ): Set<RequestTrait> {
        val reported = news.crashes.flatMapTo(LinkedHashSet()) { it.unanswered.flatten() }
        val knownHere = reported.filterTo(LinkedHashSet()) { it !in news.known && it in answeredAt }
        news.known.forEach { if (it !in answeredAt) answeredAt[it] = null }
        news.crashes.forEach { record(now, it) }
        news.answered.forEach { answeredAt[it] = now }
        news.completed.forEach { completed[it] = Unit }
        judge()
        return knownHere
    }

    /** Forgets the ends of [processes] and thereby lifts the rejections that rest on them. */
    public fun forget(processes: Collection<EndpointProcess>) {
        if (crashes.keys.removeAll(processes.toSet())) onCrashesRemoved()
        judge()
    }

    /** Drops what is older than [HarmfulRequestSettings.retention], and silences that were not confirmed. */
    public fun expire(now: Timestamp) {
        if (!crashes.values.removeIf { now - it.at > retention(it.isConfirmed) }) return
        onCrashesRemoved()
        judge()
    }

    /** Returns the known ones of [traits]. */
    public fun known(traits: Collection<RequestTrait>): Set<RequestTrait> =
        traits.filterTo(LinkedHashSet()) { it in answeredAt }

    /**
     * Returns what must not be lost with this process: the ends of endpoints at which some trait was suspected for at
     * least the second time.
     */
    public fun lastingNews(now: Timestamp): CrashNews {
        val repeated = crashesByTrait.filterValues { it.size >= MIN_REPEATED }.keys.filterTo(HashSet(), ::isRepeated)
        val reports =
            crashes.values.mapNotNull { crash ->
                val requests = crash.requests.filter { request -> request.any { it in repeated } }
                val begun = crash.begun.filterTo(LinkedHashSet(), ::isRepeatedContent)
                val age = (now - crash.at).inWholeMilliseconds
                CrashReport(crash.process, requests, age, begun, crash.isConfirmed)
                    .takeIf { requests.isNotEmpty() || begun.isNotEmpty() }
            }
        return CrashNews(reports, known(reports.flatMap { it.unanswered.flatten() }))
    }

    private fun retention(isConfirmed: Boolean): Duration =
        if (isConfirmed) settings.retention else settings.silenceRetention

    private fun isRepeated(trait: RequestTrait): Boolean =
        trait !in answeredAt && countMoments(suspectedAt(trait)) >= MIN_REPEATED

    private fun isRepeatedContent(content: RequestTrait): Boolean =
        content !in completed && countMoments(crashesByContent[content].orEmpty()) >= MIN_REPEATED

    private fun record(
        now: Timestamp,
        report: CrashReport,
    ) {
        val at = now - report.ageMillis.coerceAtLeast(0).milliseconds
        if (now - at > retention(report.isConfirmed)) return
        val crash = crashes.getOrPut(report.process) { Crash(report.process, at) }
        crash.isConfirmed = crash.isConfirmed || report.isConfirmed
        val room = settings.maxRequestsPerCrash - crash.requests.size
        for (request in report.unanswered.filter { it !in crash.requests }.take(maxOf(room, 0))) {
            crash.requests += request
            request.forEach { crashesByTrait.getOrPut(it) { LinkedHashSet() } += crash }
            request.filter { it.isContent }.forEach { crashesByContent.getOrPut(it) { LinkedHashSet() } += crash }
        }
        val roomForBegun = settings.maxRequestsPerCrash - crash.begun.size
        for (content in report.begun.filter { it !in crash.begun }.take(maxOf(roomForBegun, 0))) {
            crash.begun += content
            crashesByContent.getOrPut(content) { LinkedHashSet() } += crash
        }
        if (crashes.size > settings.maxRecordedCrashes) dropOldestUnexplained()
    }

    private fun dropOldestUnexplained() {
        val dropped = crashes.values.firstOrNull { !it.isExplainedBy(rejections) } ?: return
        crashes.remove(dropped.process)
        onCrashesRemoved()
    }

    private fun onCrashesRemoved() =
        listOf(crashesByTrait, crashesByContent).forEach { index ->
            index.values.removeIf { known ->
                known.removeIf { crashes[it.process] !== it }
                known.isEmpty()
            }
        }

    /** Returns the ends at which [trait] is suspected: those since a request with it was last answered. */
    private fun suspectedAt(trait: RequestTrait): List<Crash> {
        val since = answeredAt[trait]
        return crashesByTrait[trait].orEmpty().filter { since == null || it.at > since }
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
        found += neverCompleted(found).map(::setOf)
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

    /** Returns the contents that were never answered completely, with too many ends that [found] does not explain. */
    private fun neverCompleted(found: Set<Set<RequestTrait>>): List<RequestTrait> =
        crashesByContent
            .filter { (content, crashes) -> crashes.size >= settings.maxCrashesOfBegun && content !in completed }
            .filterValues { crashes ->
                val unexplained = crashes.filter { it.isConfirmed && !it.isExplainedBy(found) }
                countMoments(unexplained) >= settings.maxCrashesOfBegun
            }.keys
            .toList()

    private fun candidate(
        trait: RequestTrait,
        crashes: List<Crash>,
    ): Candidate {
        val requests = crashes.flatMap { crash -> crash.requests.filter { trait in it } }
        val common = requests.reduceOrNull { common, request -> common.intersect(request) }.orEmpty()
        return Candidate(crashes, countMoments(crashes), common.filterTo(LinkedHashSet()) { it !in answeredAt })
    }

    /** Whether [other] explains the same ends as [candidate] and would have fewer requests rejected. */
    private fun explainsAsWell(
        other: Candidate,
        candidate: Candidate,
    ): Boolean =
        other.common.size > candidate.common.size && other.common.containsAll(candidate.common) &&
            other.crashes.containsAll(candidate.crashes)

    /** Returns the number of [crashes], of which those that were simultaneous count as one. */
    private fun countMoments(crashes: Collection<Crash>): Int {
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
