package oriolespindle.core.lifecycle

import oriolespindle.core.id.RequestId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An input of [InstanceShutdown]. */
public sealed interface ShutdownEvent {
    /** The operator or the platform requests the shutdown; further requests have no effect. */
    public data object Requested : ShutdownEvent

    /** A caller opened a connection, so the load balancer still sends traffic. */
    public data object ConnectionOpened : ShutdownEvent

    /** A connection that a caller had opened was closed. */
    public data object ConnectionClosed : ShutdownEvent

    /** The first byte of a request has arrived. */
    public data class RequestStarted(
        public val request: RequestId,
    ) : ShutdownEvent

    /** The last byte of the answer was written, or the caller disconnected. */
    public data class RequestFinished(
        public val request: RequestId,
    ) : ShutdownEvent

    /** A request was refused because it may not end before the instance does. */
    public data object RequestRefused : ShutdownEvent

    /** Time has passed; must be delivered at least once a second after [Requested]. */
    public data object Tick : ShutdownEvent
}

/** An output of [InstanceShutdown] that its caller performs. */
public sealed interface ShutdownAction {
    /** Report the instance as not ready, and ask callers in each further answer to close their connection. */
    public data object ReportUnready : ShutdownAction

    /** Close the listener; requests on open connections are still answered. */
    public data object StopAccepting : ShutdownAction

    /** Close every connection that has no request and has been idle for at least [idleFor]. */
    public data class CloseIdle(
        public val idleFor: Duration,
    ) : ShutdownAction

    /** End every request in flight, since the process is about to be killed; tell callers whether it may have run. */
    public data object EndRequests : ShutdownAction

    /** Exit the process; no request is in flight and no new one can arrive, or the process is about to be killed. */
    public data object Exit : ShutdownAction
}

/**
 * Settings of [InstanceShutdown].
 *
 * The load balancer is considered to have moved its traffic once the instance has been unready for [unreadyFor], which
 * covers two readiness checks of 2 s and their lag, and no connection was opened for [quietFor]. [acceptAtMost] is the
 * longest time that the listener stays open for a load balancer that goes on sending. A connection is closed only after
 * it was idle for [idleFor], because a request is more likely to be in transit on a connection that was used recently.
 *
 * The platform kills the process once [grace] has passed since the shutdown was requested; with null it never does.
 * Requests that are still in flight [endReserve] before that, or an eighth of [grace] if that is shorter, are ended.
 */
public data class ShutdownSettings(
    public val unreadyFor: Duration = 5.seconds,
    public val quietFor: Duration = 2.seconds,
    public val acceptAtMost: Duration = 60.seconds,
    public val idleFor: Duration = 1.seconds,
    public val grace: Duration? = null,
    public val endReserve: Duration = 500.milliseconds,
) {
    internal val reserve: Duration get() = if (grace == null) endReserve else minOf(endReserve, grace / RESERVE_DIVISOR)

    /** How long after the request of the shutdown requests in flight are ended; null if they may take any time. */
    internal val endAfter: Duration? get() = grace?.let { it - reserve }

    init {
        require(acceptAtMost >= unreadyFor) { "acceptAtMost is $acceptAtMost, must be at least $unreadyFor" }
    }

    private companion object {
        const val RESERVE_DIVISOR = 8
    }
}

/**
 * Graceful shutdown of an instance: it stops accepting connections and exits once all requests have finished, or
 * shortly before the platform kills it. [LateRequestPolicy] decides which requests are still accepted meanwhile.
 *
 * The listener stays open as long as requests in flight keep the process running and none was refused. A load balancer
 * with too few ready instances goes on sending connections. A caller that finds no listener tries another instance,
 * while a refusal uses up one of the few retries that callers make after an answer.
 */
public class InstanceShutdown(
    private val settings: ShutdownSettings = ShutdownSettings(),
) {
    private enum class Phase { RUNNING, UNREADY, CLOSING, ENDING, ENDED }

    private val inFlight = HashSet<RequestId>()
    private var openConnections = 0
    private var phase = Phase.RUNNING
    private var requestedAt = Timestamp.ZERO
    private var lastConnectionAt = Timestamp.ZERO
    private var lastActivityAt = Timestamp.ZERO
    private var hasRefused = false

    /** Whether the instance reports to the load balancer that it accepts traffic. */
    public val isReady: Boolean get() = phase == Phase.RUNNING

    /** The number of requests in flight. */
    public val requestsInFlight: Int get() = inFlight.size

    /** Returns the time since the shutdown was requested; null before. */
    public fun stoppingFor(now: Timestamp): Duration? = (now - requestedAt).takeIf { phase != Phase.RUNNING }

    /** Returns the time until requests in flight are ended; null before the shutdown or if it has no limit. */
    public fun timeLeft(now: Timestamp): Duration? =
        stoppingFor(now)?.let { stopping -> settings.endAfter?.let { it - stopping } }

    /** Applies [event] and returns the actions to perform. */
    public fun handle(
        now: Timestamp,
        event: ShutdownEvent,
    ): List<ShutdownAction> =
        when (event) {
            ShutdownEvent.Requested -> onRequested(now)
            ShutdownEvent.ConnectionOpened -> onConnectionOpened(now)
            ShutdownEvent.ConnectionClosed -> onConnectionClosed()
            is ShutdownEvent.RequestStarted -> onRequestStarted(now, event.request)
            is ShutdownEvent.RequestFinished -> onRequestFinished(now, event.request)
            ShutdownEvent.RequestRefused -> onRequestRefused()
            ShutdownEvent.Tick -> onTick(now)
        }

    private fun onRequested(now: Timestamp): List<ShutdownAction> {
        if (phase != Phase.RUNNING) return emptyList()
        phase = Phase.UNREADY
        requestedAt = now
        return listOf(ShutdownAction.ReportUnready)
    }

    private fun onConnectionClosed(): List<ShutdownAction> {
        openConnections--
        return emptyList()
    }

    private fun onConnectionOpened(now: Timestamp): List<ShutdownAction> {
        openConnections++
        lastConnectionAt = now
        lastActivityAt = now
        return emptyList()
    }

    private fun onRequestStarted(
        now: Timestamp,
        request: RequestId,
    ): List<ShutdownAction> {
        check(phase != Phase.ENDED) { "request $request started after the instance ended" }
        inFlight += request
        lastActivityAt = now
        return emptyList()
    }

    private fun onRequestFinished(
        now: Timestamp,
        request: RequestId,
    ): List<ShutdownAction> {
        inFlight -= request
        lastActivityAt = now
        return emptyList()
    }

    private fun onRequestRefused(): List<ShutdownAction> {
        hasRefused = true
        return emptyList()
    }

    private fun onTick(now: Timestamp): List<ShutdownAction> {
        val timeLeft = timeLeft(now)
        return when (phase) {
            Phase.RUNNING, Phase.ENDED -> {
                emptyList()
            }

            Phase.UNREADY, Phase.CLOSING -> {
                if (timeLeft != null && timeLeft <= Duration.ZERO) endRequests() else onTickWithTimeLeft(now)
            }

            Phase.ENDING -> {
                // Half of the reserve is left for callers that are slow to take the last bytes of their answers.
                val isLate = timeLeft != null && -timeLeft >= settings.reserve / 2
                if (inFlight.isEmpty() || isLate) exit() else emptyList()
            }
        }
    }

    private fun onTickWithTimeLeft(now: Timestamp): List<ShutdownAction> =
        when {
            phase == Phase.CLOSING && canExit(now) -> exit()
            phase == Phase.CLOSING -> listOf(closeIdle())
            now - requestedAt < settings.unreadyFor -> emptyList()
            hasTrafficMoved(now) && canExit(now) -> stopAccepting()
            hasRefused || now - requestedAt >= settings.acceptAtMost -> stopAccepting()
            else -> listOf(closeIdle())
        }

    private fun closeIdle() = ShutdownAction.CloseIdle(settings.idleFor)

    private fun endRequests(): List<ShutdownAction> {
        val first = if (phase == Phase.UNREADY) listOf(ShutdownAction.StopAccepting) else emptyList()
        phase = Phase.ENDING
        return first + ShutdownAction.CloseIdle(Duration.ZERO) + ShutdownAction.EndRequests
    }

    private fun hasTrafficMoved(now: Timestamp): Boolean = now - lastConnectionAt >= settings.quietFor

    private fun stopAccepting(): List<ShutdownAction> {
        phase = Phase.CLOSING
        return listOf(ShutdownAction.StopAccepting, closeIdle())
    }

    /** Connections that were used less than [ShutdownSettings.idleFor] ago are still open and may carry a request. */
    private fun canExit(now: Timestamp): Boolean =
        inFlight.isEmpty() && (openConnections == 0 || now - lastActivityAt > settings.idleFor)

    private fun exit(): List<ShutdownAction> {
        phase = Phase.ENDED
        return listOf(ShutdownAction.CloseIdle(Duration.ZERO), ShutdownAction.Exit)
    }
}
