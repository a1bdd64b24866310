package oriolespindle.router.relay

import oriolespindle.core.crash.CrashNews
import oriolespindle.core.crash.CrashReport
import oriolespindle.core.crash.EndpointProcess
import oriolespindle.core.crash.HarmfulRequestGuard
import oriolespindle.core.crash.RequestTrait
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Rejects requests under which endpoints end, by what this and the other instances have observed.
 *
 * Instances tell each other about each end of an endpoint in datagrams, which are quick and also work while the store
 * is down. What has become suspect twice is also kept in the store, which reaches zones that are cut off from each
 * other and instances that start later. Confined to the event loop.
 */
internal class HarmfulRequests(
    private val timers: TimerService,
    private val metrics: RelayMetrics,
    /** Sends news to all other instances. */
    private val send: (CrashNews) -> Unit,
    /** Called when more requests are rejected than before. */
    private val onRejectionsAdded: () -> Unit,
) {
    private val guard = HarmfulRequestGuard()

    /** When the other instances were last told that requests with a trait were answered at some time. */
    private val toldKnownAt = HashMap<RequestTrait, Timestamp>()

    /** The ends of endpoints that each object of the store lists, by the object's name. */
    private val stored = HashMap<String, CrashNews>()

    /** Called when the store should be told [unstoredNews]. */
    var onUnstoredNews: () -> Unit = {}

    init {
        metrics.gauge("oriolespindle.relay.rejected.traits") { guard.rejections.size }
        timers.every(EXPIRY_INTERVAL) { update { guard.expire(monotonicNow()) } }
    }

    /** Returns the traits because of which a request with [traits] is rejected, or null if it is not. */
    fun rejection(traits: RequestTraits): Set<RequestTrait>? =
        if (guard.rejections.isEmpty()) null else guard.rejection(traits.all)

    /** Returns whether a request must not run again before it is known whether its endpoint has ended. */
    fun isSuspected(traits: RequestTraits): Boolean = !guard.isIdle && guard.isSuspected(traits.all)

    /** Returns how long requests with all traits of [rejection] are rejected from now on, unless more ends follow. */
    fun rejectedFor(rejection: Set<RequestTrait>): Duration = guard.rejectedFor(monotonicNow(), rejection)

    /** Records that an endpoint has begun to answer a request with [traits]. */
    fun onAnswered(traits: RequestTraits) {
        val answered = if (guard.isIdle) traits.parts else traits.all
        val suspected = update { guard.onAnswered(monotonicNow(), answered) }
        if (suspected.isEmpty()) return
        EventLog.info("requests are no longer suspected, since one was answered", "traits" to suspected)
        send(CrashNews(answered = suspected))
    }

    /** Records that a request with [traits] was completely answered, by several runs unless [isSingleRun]. */
    fun onCompleted(
        traits: RequestTraits,
        isSingleRun: Boolean,
    ) {
        val proven = if (isSingleRun) traits.parts else emptySet()
        val completed = if (guard.isIdle) proven else proven + traits.content
        val suspected = update { guard.onCompleted(monotonicNow(), completed) }
        if (suspected.isEmpty()) return
        EventLog.info("requests are no longer suspected, since one was completed", "traits" to suspected)
        send(CrashNews(completed = suspected))
    }

    /** Records the end of an endpoint that this instance has observed, and tells the other instances. */
    fun onCrash(crash: EndpointCrash) {
        metrics.onEndpointEnded()
        val process = EndpointProcess(crash.endpoint.id, crash.endpoint.startedAt)
        val requests = crash.unanswered.distinct()
        if (requests.isEmpty() && crash.begun.isEmpty()) return
        update { guard.onCrash(crash.at, process, requests, crash.begun.distinct()) }
        checkStored()
        tell(crash, process)
        RESEND_DELAYS.forEach { delay ->
            timers.after(delay) { if (isLasting(process)) tell(crash, process) }
        }
    }

    /**
     * Records that this instance observes an endpoint as silent and out of reach, and tells the other instances.
     *
     * The others are not told again, since the platform soon shows whether the endpoint has ended.
     */
    fun onSilent(crash: EndpointCrash) {
        val process = EndpointProcess(crash.endpoint.id, crash.endpoint.startedAt)
        val requests = crash.unanswered.distinct()
        if (requests.isEmpty() && crash.begun.isEmpty()) return
        update { guard.onSilent(crash.at, process, requests, crash.begun.distinct()) }
        checkStored()
        tell(crash, process, isConfirmed = false)
    }

    /** Records that [process] has sent something, which ends what any instance has observed as its silence. */
    fun onSignOfLife(process: EndpointProcess) {
        if (guard.isSilent(process)) update { guard.onSignOfLife(process) }
    }

    private fun isLasting(process: EndpointProcess): Boolean =
        guard.lastingNews(monotonicNow()).crashes.any { it.process == process }

    private fun tell(
        crash: EndpointCrash,
        process: EndpointProcess,
        isConfirmed: Boolean = true,
    ) {
        val age = (monotonicNow() - crash.at).inWholeMilliseconds
        for (some in crash.unanswered
            .distinct()
            .take(MAX_REPORTED_REQUESTS)
            .chunked(REQUESTS_PER_DATAGRAM)) {
            send(
                CrashNews(
                    listOf(CrashReport(process, some, age, isConfirmed = isConfirmed)),
                    guard.known(some.flatten()),
                ),
            )
        }
        for (some in crash.begun
            .distinct()
            .take(MAX_REPORTED_REQUESTS)
            .chunked(REQUESTS_PER_DATAGRAM)) {
            send(CrashNews(listOf(CrashReport.of(process, unanswered = emptyList(), begun = some, age, isConfirmed))))
        }
    }

    /** Merges the [news] that another instance has sent. */
    fun onNews(news: CrashNews) {
        val now = monotonicNow()
        val answer = update { guard.merge(now, news) }
        if (news.crashes.isNotEmpty()) checkStored()
        news.known.forEach { toldKnownAt[it] = now }
        val untold =
            answer.known.filterTo(LinkedHashSet()) { toldKnownAt[it]?.let { told -> now - told >= TOLD_TTL } ?: true }
        if (untold.isEmpty() && answer.completed.isEmpty()) return
        if (toldKnownAt.size > MAX_TOLD_TRAITS) toldKnownAt.clear()
        untold.forEach { toldKnownAt[it] = now }
        send(CrashNews(known = untold, completed = answer.completed))
    }

    /** Merges the [news] that the object [name] of the store has; they were written [age] ago. */
    fun onStored(
        name: String,
        news: CrashNews,
        age: Duration,
    ) {
        stored[name] = news
        val aged = news.crashes.map { it.copy(ageMillis = it.ageMillis + age.inWholeMilliseconds) }
        update { guard.merge(monotonicNow(), news.copy(crashes = aged)) }
    }

    /** Called when an operator has deleted the object [name], which lifts the rejections that rest on it. */
    fun onStoredRemoved(name: String) {
        val processes = stored.remove(name)?.crashes?.map { it.process } ?: return
        EventLog.info("ends of endpoints are forgotten, since they were deleted", "object" to name)
        update { guard.forget(processes) }
    }

    /** Forgets what the store has, since it was restored from an older copy; no end is forgotten. */
    fun onStoreRestored() = stored.clear()

    /** Runs [change] of the guard, and acts on its result. */
    private fun <T> update(change: () -> T): T {
        val before = guard.rejections
        val result = change()
        val added = guard.rejections - before
        for (traits in added) {
            EventLog.warn(
                "requests are rejected, since endpoints ended under them",
                "traits" to traits,
                "endpoints" to guard.evidence(traits).map { it.endpoint },
            )
        }
        (before - guard.rejections).forEach { EventLog.info("requests are no longer rejected", "traits" to it) }
        if (added.isNotEmpty()) onRejectionsAdded()
        return result
    }

    /** Returns what must not be lost with this process, or null if the store has all of it. */
    fun unstoredNews(): CrashNews? {
        val news = guard.lastingNews(monotonicNow())
        val isStored =
            news.crashes.all { report ->
                val inStore = reportsInStore(report.process).filter { it.isConfirmed || !report.isConfirmed }
                inStore.flatMapTo(HashSet()) { it.unanswered }.containsAll(report.unanswered) &&
                    inStore.flatMapTo(HashSet()) { it.begun }.containsAll(report.begun) &&
                    inStore.flatMapTo(HashSet()) { it.begunRequests }.containsAll(report.begunRequests)
            }
        return news.takeUnless { isStored }
    }

    private fun checkStored() {
        if (unstoredNews() != null) onUnstoredNews()
    }

    private fun reportsInStore(process: EndpointProcess): List<CrashReport> =
        stored.values.flatMap { news -> news.crashes.filter { it.process == process } }

    private companion object {
        /** Datagrams may be lost; one about an end that is a matter of suspicion is sent again after these delays. */
        val RESEND_DELAYS = listOf(250.milliseconds, 1.seconds)
        val EXPIRY_INTERVAL = 1.seconds

        /** How long it is not repeated that requests with a trait were answered. */
        val TOLD_TTL = 5.seconds
        const val MAX_TOLD_TRAITS = 10_000
        const val MAX_REPORTED_REQUESTS = 64

        /** Keeps a datagram below the usual size of a packet. */
        const val REQUESTS_PER_DATAGRAM = 6
    }
}
