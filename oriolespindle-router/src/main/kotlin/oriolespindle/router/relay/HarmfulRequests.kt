package oriolespindle.router.relay

import oriolespindle.core.crash.CrashNews
import oriolespindle.core.crash.CrashReport
import oriolespindle.core.crash.EndpointProcess
import oriolespindle.core.crash.HarmfulRequestGuard
import oriolespindle.core.crash.RecentlyUsedMap
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
    private val toldKnownAt = RecentlyUsedMap<RequestTrait, Timestamp>(MAX_TOLD_TRAITS)

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
        EventLog.info("requests are no longer suspected, since one was answered", *traitFields(suspected))
        sendTraits(suspected) { CrashNews(answered = it) }
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
        EventLog.info("requests are no longer suspected, since one was completed", *traitFields(suspected))
        sendTraits(suspected) { CrashNews(completed = it) }
    }

    /** Records the end of an endpoint that this instance has observed, and tells the other instances. */
    fun onCrash(crash: EndpointCrash) {
        metrics.onEndpointEnded()
        val report = report(crash, isConfirmed = true) ?: return
        update { guard.onCrash(crash.at, report.process, report.unanswered, report.begun) }
        checkStored()
        tell(report, crash.at)
        RESEND_DELAYS.forEach { delay ->
            timers.after(delay) { if (isLasting(report.process)) tell(report, crash.at) }
        }
    }

    /**
     * Records that this instance observes an endpoint as silent and out of reach, and tells the other instances.
     *
     * The others are not told again, since the platform soon shows whether the endpoint has ended.
     */
    fun onSilent(crash: EndpointCrash) {
        val report = report(crash, isConfirmed = false) ?: return
        update { guard.onSilent(crash.at, report.process, report.unanswered, report.begun) }
        checkStored()
        tell(report, crash.at)
    }

    /** What is recorded of an end, and told to the other instances. */
    private class Report(
        val process: EndpointProcess,
        val unanswered: List<Set<RequestTrait>>,
        val begun: List<Set<RequestTrait>>,
        val isConfirmed: Boolean,
    )

    private fun report(
        crash: EndpointCrash,
        isConfirmed: Boolean,
    ): Report? {
        val process = EndpointProcess(crash.endpoint.id, crash.endpoint.startedAt)
        val unanswered = guard.mostSuspect(crash.unanswered.distinct())
        val begun = guard.mostSuspect(crash.begun.distinct())
        return Report(process, unanswered, begun, isConfirmed).takeIf { unanswered.isNotEmpty() || begun.isNotEmpty() }
    }

    /** Records that [process] has sent something, which ends what any instance has observed as its silence. */
    fun onSignOfLife(process: EndpointProcess) {
        if (guard.isSilent(process)) update { guard.onSignOfLife(process) }
    }

    private fun isLasting(process: EndpointProcess): Boolean =
        guard.lastingNews(monotonicNow()).crashes.any { it.process == process }

    private fun tell(
        report: Report,
        at: Timestamp,
    ) {
        val age = (monotonicNow() - at).inWholeMilliseconds
        for (some in datagrams(report.unanswered)) {
            val told = CrashReport(report.process, some, age, isConfirmed = report.isConfirmed)
            send(CrashNews(listOf(told), guard.known(some.flatten())))
        }
        for (some in datagrams(report.begun)) {
            val told = CrashReport.of(report.process, unanswered = emptyList(), begun = some, age, report.isConfirmed)
            send(CrashNews(listOf(told)))
        }
    }

    /** Divides the first of [requests] among datagrams; one with many traits is alone, since none is divided. */
    private fun datagrams(requests: List<Set<RequestTrait>>): List<List<Set<RequestTrait>>> =
        divide(requests.take(MAX_REPORTED_REQUESTS)) { request -> request.sumOf { it.value.length } }
            .take(MAX_REPORT_DATAGRAMS)

    private fun sendTraits(
        traits: Collection<RequestTrait>,
        news: (Set<RequestTrait>) -> CrashNews,
    ) = divide(traits) { it.value.length }.forEach { send(news(it.toSet())) }

    /** Merges the [news] that another instance has sent. */
    fun onNews(news: CrashNews) {
        val now = monotonicNow()
        val answer = update { guard.merge(now, news) }
        if (news.crashes.isNotEmpty()) checkStored()
        news.known.forEach { toldKnownAt[it] = now }
        val untold =
            answer.known.filterTo(LinkedHashSet()) { toldKnownAt[it]?.let { told -> now - told >= TOLD_TTL } ?: true }
        if (untold.isEmpty() && answer.completed.isEmpty()) return
        untold.forEach { toldKnownAt[it] = now }
        sendTraits(untold) { CrashNews(known = it) }
        sendTraits(answer.completed) { CrashNews(completed = it) }
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
                *traitFields(traits),
                "endpoints" to guard.evidence(traits).map { it.endpoint },
            )
        }
        (before - guard.rejections).forEach { EventLog.info("requests are no longer rejected", *traitFields(it)) }
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
        const val MAX_REPORT_DATAGRAMS = 24

        /** Keeps a datagram, which names some traits twice, below the usual size of a packet. */
        const val CHARS_PER_DATAGRAM = 600

        /** Divides [items] into groups of at most [CHARS_PER_DATAGRAM] together, or of a single item. */
        fun <T> divide(
            items: Collection<T>,
            chars: (T) -> Int,
        ): List<List<T>> {
            val groups = ArrayList<MutableList<T>>()
            var room = 0
            for (item in items) {
                val size = chars(item)
                if (groups.isEmpty() || size > room) {
                    groups += ArrayList<T>()
                    room = CHARS_PER_DATAGRAM
                }
                groups.last() += item
                room -= size
            }
            return groups
        }
    }
}
