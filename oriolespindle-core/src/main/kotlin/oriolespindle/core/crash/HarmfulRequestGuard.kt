package oriolespindle.core.crash

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

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
    private val history = CrashHistory(settings)
    private val finder = HarmfulTraitFinder(history, settings)

    /** The sets of traits such that a request with all traits of one is rejected. */
    public var rejections: Set<Set<RequestTrait>> = emptySet()
        private set

    /** Whether no end of an endpoint is remembered. */
    public val isIdle: Boolean get() = history.crashes.isEmpty()

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
                trait in history.byContent && !history.wasCompleted(trait)
            } else {
                finder.countMoments(history.incompleteAt(trait)) >= settings.maxCrashesOfBegun - 1
            }
        }

    /** Returns the number of traits of all remembered requests together. */
    internal fun recordedTraits(): Int = history.crashes.sumOf { it.traitCount }

    /** Returns how long requests with all traits of [rejection] are rejected from [now] on, unless more ends follow. */
    public fun rejectedFor(
        now: Timestamp,
        rejection: Set<RequestTrait>,
    ): Duration {
        val (confirmed, silences) = explainedBy(rejection).partition { it.isConfirmed }
        val deciding = if (confirmed.size >= settings.maxCrashes) confirmed else silences
        val last = deciding.maxOfOrNull { it.at + history.retention(it.isConfirmed) } ?: return Duration.ZERO
        return (last - now).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the ends of endpoints that [rejection] explains. */
    public fun evidence(rejection: Set<RequestTrait>): List<EndpointProcess> = explainedBy(rejection).map { it.process }

    private fun explainedBy(rejection: Set<RequestTrait>): List<RecordedCrash> =
        history.crashes.filter { it.isExplainedBy(setOf(rejection)) }

    /** Records that an endpoint begins to answer a request with [traits]; returns those that were suspected. */
    public fun onAnswered(
        now: Timestamp,
        traits: Set<RequestTrait>,
    ): Set<RequestTrait> {
        val suspected =
            if (isIdle) emptySet() else traits.filterTo(LinkedHashSet()) { history.suspectedAt(it).isNotEmpty() }
        traits.forEach { history.onAnswered(now, it) }
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
            traits.filterTo(LinkedHashSet()) { it in history.byContent || it in history.byBegunPart }
        if (traits.count { clear(now, it) } > 0) judge()
        return suspected
    }

    /** Records that a request with [trait] was completed; returns whether that may change what is rejected. */
    private fun clear(
        now: Timestamp,
        trait: RequestTrait,
    ): Boolean = history.onCompleted(now, trait).size >= settings.maxCrashesOfBegun

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

    /**
     * Returns [requests], the most suspect ones first, without most of those traits that are certainly not harmful; it
     * bounds what an end of an endpoint makes instances record and tell each other.
     */
    public fun mostSuspect(requests: Collection<Set<RequestTrait>>): List<Set<RequestTrait>> =
        history.mostSuspect(requests)

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

    /** Records the end in [report]; returns whether anything of it was not known. */
    private fun record(
        now: Timestamp,
        report: CrashReport,
    ): Boolean {
        val isChanged = history.record(now, report)
        history.dropExcess { it.isExplainedBy(rejections) }
        return isChanged
    }

    /** Returns whether [process] is known as silent and out of reach, and is not known to have ended. */
    public fun isSilent(process: EndpointProcess): Boolean = history[process]?.isConfirmed == false

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
        val knownHere = reported.filterTo(LinkedHashSet()) { it !in news.known && history.wasAnswered(it) }
        val completedSince = news.crashes.flatMapTo(LinkedHashSet()) { partsCompletedSince(now, it) }
        news.known.forEach(history::onKnownElsewhere)
        val isChanged = news.crashes.count { record(now, it) } > 0
        news.answered.forEach { history.onAnswered(now, it) }
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
        return report.begunRequests.flatten().filter { history.wasCompletedAfter(at, it) }
    }

    /** Forgets the ends of [processes] and thereby lifts the rejections that rest on them. */
    public fun forget(processes: Collection<EndpointProcess>) {
        history.forget(processes.toSet())
        judge()
    }

    /** Drops what is older than [HarmfulRequestSettings.retention], and silences that were not confirmed. */
    public fun expire(now: Timestamp) {
        if (history.expire(now)) judge()
    }

    /** Returns the known ones of [traits]. */
    public fun known(traits: Collection<RequestTrait>): Set<RequestTrait> =
        traits.filterTo(LinkedHashSet(), history::wasAnswered)

    /**
     * Returns what must not be lost with this process: the ends of endpoints at which some trait was suspected for at
     * least the second time.
     */
    public fun lastingNews(now: Timestamp): CrashNews {
        val repeated = history.byUnansweredTrait.traits.filterTo(HashSet(), ::isRepeated)
        val contents = history.byContent.traits.filterTo(HashSet(), ::isRepeatedContent)
        val begunParts = history.byBegunPart.traits.filterTo(HashSet()) { areRepeated(history.incompleteAt(it)) }
        if (repeated.isEmpty() && contents.isEmpty() && begunParts.isEmpty()) return CrashNews()
        val reports =
            history.crashes.mapNotNull { crash ->
                val requests = crash.requests.filter { request -> request.any { it in repeated || it in begunParts } }
                val begun = crash.begun.filterTo(LinkedHashSet()) { it in contents }
                val begunRequests = crash.begunRequests.filter { request -> request.any { it in begunParts } }
                val age = (now - crash.at).inWholeMilliseconds
                CrashReport(crash.process, requests, age, begun, crash.isConfirmed, begunRequests)
                    .takeIf { requests.isNotEmpty() || begun.isNotEmpty() || begunRequests.isNotEmpty() }
            }
        return CrashNews(reports, known(reports.flatMap { it.unanswered.flatten() }))
    }

    private fun isRepeated(trait: RequestTrait): Boolean =
        history.byUnansweredTrait[trait].size >= MIN_REPEATED && !history.wasAnswered(trait) &&
            areRepeated(history.suspectedAt(trait))

    private fun isRepeatedContent(content: RequestTrait): Boolean =
        areRepeated(history.byContent[content]) && !history.wasCompleted(content)

    private fun areRepeated(crashes: Collection<RecordedCrash>): Boolean =
        crashes.size >= MIN_REPEATED && finder.countMoments(crashes) >= MIN_REPEATED

    private fun judge() {
        rejections = finder.find()
    }

    private companion object {
        const val MIN_REPEATED = 2
    }
}
