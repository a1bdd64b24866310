package oriolespindle.router.relay

import oriolespindle.core.crash.AttemptsOfEnded
import oriolespindle.core.crash.BrokenAttempt
import oriolespindle.core.crash.BrokenAttempts
import oriolespindle.core.crash.EndpointProcess
import oriolespindle.core.crash.RequestTrait
import oriolespindle.core.id.EndpointId
import oriolespindle.core.relay.RegistrationState
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.Address
import oriolespindle.router.http.ProbeResult
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The end of a process of an endpoint, with the traits of the requests that it had not answered completely. */
internal class EndpointCrash(
    val endpoint: RelayEndpoint,
    val at: Timestamp,
    /** The traits of each request that it had not begun to answer. */
    val unanswered: List<Set<RequestTrait>>,
    /** The traits of each request that it had begun to answer. */
    val begun: List<Set<RequestTrait>>,
)

/**
 * Tells endpoints that have ended from single attempts that broke off.
 *
 * Where a connection was lost or an answer made no sense, the process has ended if its address takes no connection a
 * moment later. After any other break, such as a silence or a caller that left, the end shows when the platform removes
 * the registration or another process takes its place, unless the process has sent something meanwhile. Until then, a
 * silent process that does not answer to a connection is reported as such. Confined to the event loop.
 */
internal class EndpointLosses(
    private val timers: TimerService,
    /** Finds out whether an address takes connections. */
    private val probe: (Address, (ProbeResult) -> Unit) -> Unit,
    /** Returns what the registrations tell about a process. */
    private val registrationState: (RelayEndpoint) -> RegistrationState,
    private val onCrash: (EndpointCrash) -> Unit,
    /** Called when a process is silent and takes no connection, so that it may have ended. */
    private val onSilent: (EndpointCrash) -> Unit,
    /** Called when a process has sent something. */
    private val onSignOfLife: (EndpointProcess) -> Unit,
) {
    private class Losses(
        val endpoint: RelayEndpoint,
    ) {
        var count = 0
        val waiting = LinkedHashSet<() -> Unit>()

        fun release() = waiting.toList().forEach(::release)

        /** Calls [callback] unless that has been done. */
        fun release(callback: () -> Unit) {
            if (waiting.remove(callback)) callback()
        }
    }

    private val open = HashMap<EndpointProcess, Losses>()
    private val broken = BrokenAttempts()

    /** The endpoints of the processes in [broken]. */
    private val suspects = HashMap<EndpointProcess, RelayEndpoint>()

    /** The processes that are being asked for a connection after a silence, and those that did not answer to it. */
    private val silent = HashSet<EndpointProcess>()

    init {
        timers.every(CHECK_INTERVAL) {
            broken.expire(monotonicNow())
            checkRegistrations()
        }
    }

    /**
     * Records that [attempt] broke off at the first of [receivers], which may have ended; the others took part in it.
     *
     * [onSettled] is called when it is known whether it takes connections, and after [MAX_WAIT] at the latest.
     */
    fun onBroken(
        receivers: List<RelayEndpoint>,
        attempt: BrokenAttempt,
        onSettled: () -> Unit,
    ) {
        onAbandoned(receivers, attempt)
        val first = receivers.first()
        val losses = open.getOrPut(first.process) { Losses(first).also(::settleLater) }
        losses.count++
        losses.waiting += onSettled
        timers.after(MAX_WAIT) { losses.release(onSettled) }
    }

    /** Records that [attempt] was given up at [receivers], because of the silence of [silentEndpoint] unless null. */
    fun onAbandoned(
        receivers: List<RelayEndpoint>,
        attempt: BrokenAttempt,
        silentEndpoint: EndpointId? = null,
    ) {
        for (endpoint in receivers) {
            val isSilent = endpoint.id == silentEndpoint
            broken.add(monotonicNow(), endpoint.process, attempt, isSilent)
            suspects[endpoint.process] = endpoint
            if (isSilent) checkSilent(endpoint)
        }
    }

    /**
     * Reports that the process of [endpoint] has ended while it took part in [attempts], which are in progress.
     *
     * Those that broke off before are reported with them. What follows for the attempts can be decided afterwards.
     */
    fun onEnded(
        endpoint: RelayEndpoint,
        attempts: List<BrokenAttempt>,
    ) {
        attempts.forEach { broken.add(monotonicNow(), endpoint.process, it, isSilent = false) }
        reportClosed(endpoint, lost = open[endpoint.process]?.count ?: 0)
    }

    private fun checkSilent(endpoint: RelayEndpoint) {
        if (!silent.add(endpoint.process)) return
        probe(Address.parse(endpoint.address)) { result ->
            when (result) {
                ProbeResult.OPEN -> silent.remove(endpoint.process)
                ProbeResult.CLOSED, ProbeResult.FAILED -> reportClosed(endpoint)
                ProbeResult.NO_ANSWER -> reportSilent(endpoint)
            }
        }
    }

    private fun reportSilent(endpoint: RelayEndpoint) {
        if (endpoint.process !in silent) return
        val crash = broken.at(endpoint.process)?.let { crash(endpoint, it.since, it) } ?: return
        EventLog.info(
            "endpoint silent and out of reach",
            "endpoint" to endpoint.id,
            "address" to endpoint.address,
            "started_at" to endpoint.startedAt,
            "unanswered" to crash.unanswered.size,
            "traits" to mostFrequent(crash.unanswered),
        )
        onSilent(crash)
    }

    /** Called when this process of [endpoint] has sent something. */
    fun onSignOfLife(endpoint: RelayEndpoint) {
        onSignOfLife(endpoint.process)
        if (suspects.isEmpty()) return
        broken.onSignOfLife(monotonicNow(), endpoint.process)
        if (endpoint.process !in broken.processes) silent.remove(endpoint.process)
    }

    /** Called when processes may have registered, left or been removed. */
    fun checkRegistrations() {
        suspects.keys.retainAll(broken.processes)
        silent.retainAll(broken.processes)
        for ((process, endpoint) in suspects.toList()) {
            when (registrationState(endpoint)) {
                RegistrationState.IN_USE -> Unit

                // A process that leaves may end whatever it runs.
                RegistrationState.LEAVING -> broken.forget(process)

                RegistrationState.GONE -> if (process !in open) reportRemoved(endpoint)
            }
        }
    }

    private fun settleLater(losses: Losses) {
        timers.after(GATHERING_TIME) {
            probe(Address.parse(losses.endpoint.address)) { settle(losses, isReachable = it == ProbeResult.OPEN) }
        }
        RECHECK_DELAYS.forEach { delay -> timers.after(delay) { checkAgain(losses) } }
    }

    /** Finds out whether a process that took connections has ended since, unless it has sent something. */
    private fun checkAgain(losses: Losses) {
        val process = losses.endpoint.process
        if (process !in broken.processes || process in open) return
        probe(Address.parse(losses.endpoint.address)) { result ->
            if (result != ProbeResult.OPEN) reportClosed(losses.endpoint, losses.count)
        }
    }

    private fun settle(
        losses: Losses,
        isReachable: Boolean,
    ) {
        open.remove(losses.endpoint.process)
        if (!isReachable) reportClosed(losses.endpoint, losses.count)
        losses.release()
    }

    private fun reportClosed(
        endpoint: RelayEndpoint,
        lost: Int = 0,
    ) {
        val ended = takeAll(endpoint) ?: return
        report(crash(endpoint, at = monotonicNow(), ended), observation = "connection", lost)
    }

    /** The process ended some seconds before its registration was removed. */
    private fun reportRemoved(endpoint: RelayEndpoint) {
        val ended = takeAll(endpoint) ?: return
        report(crash(endpoint, at = ended.since, ended), observation = "registration", lost = 0)
    }

    private fun takeAll(endpoint: RelayEndpoint): AttemptsOfEnded? {
        suspects.remove(endpoint.process)
        silent.remove(endpoint.process)
        return broken.takeAll(endpoint.process)
    }

    private fun report(
        crash: EndpointCrash,
        observation: String,
        lost: Int,
    ) {
        val endpoint = crash.endpoint
        EventLog.info(
            "endpoint ended",
            "endpoint" to endpoint.id,
            "address" to endpoint.address,
            "started_at" to endpoint.startedAt,
            "observed_by" to observation,
            "age_ms" to (monotonicNow() - crash.at).inWholeMilliseconds,
            "lost" to lost,
            "unanswered" to crash.unanswered.size,
            "begun" to crash.begun.size,
            "traits" to mostFrequent(crash.unanswered),
            "begun_traits" to mostFrequent(crash.begun),
        )
        onCrash(crash)
    }

    private fun crash(
        endpoint: RelayEndpoint,
        at: Timestamp,
        ended: AttemptsOfEnded,
    ): EndpointCrash {
        val (begun, unanswered) = ended.attempts.partition { it.isBegun }
        return EndpointCrash(endpoint, at, unanswered.map { it.traits }, begun.map { it.traits })
    }

    private fun mostFrequent(requests: List<Set<RequestTrait>>): List<Map.Entry<RequestTrait, Int>> {
        val counts = requests.flatten().groupingBy { it }.eachCount()
        return counts.entries.sortedByDescending { it.value }.take(MAX_LOGGED_TRAITS)
    }

    companion object {
        /** All connections of a process that ends are lost within a few milliseconds. */
        private val GATHERING_TIME: Duration = 15.milliseconds

        /** How long a request waits to be sent again; a host that is silent answers no probe for longer. */
        val MAX_WAIT: Duration = 60.milliseconds

        /** An endpoint may end a moment after its last bytes. */
        private val RECHECK_DELAYS = listOf(200.milliseconds, 1.seconds)
        private val CHECK_INTERVAL = 1.seconds
        private const val MAX_LOGGED_TRAITS = 12

        private val RelayEndpoint.process: EndpointProcess get() = EndpointProcess(id, startedAt)
    }
}
