package oriolespindle.core.lifecycle

import oriolespindle.core.id.RequestId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What happens to an instance that may be shutting down. */
public sealed interface ShutdownEvent {
    /** The operator or the platform asks the process to end; a repeat changes nothing. */
    public data object Requested : ShutdownEvent

    /** A caller opened a connection, which shows that the balancer still sends traffic. */
    public data object ConnectionOpened : ShutdownEvent

    /** The first byte of a request has arrived. */
    public data class RequestStarted(
        public val request: RequestId,
    ) : ShutdownEvent

    /** The last byte of the answer was written, or the caller went away. */
    public data class RequestFinished(
        public val request: RequestId,
    ) : ShutdownEvent

    /** Time has passed; expected at least once a second after [Requested]. */
    public data object Tick : ShutdownEvent
}

/** What an instance that shuts down does. */
public sealed interface ShutdownAction {
    /** The readiness answer becomes negative, and each answer from now on asks the caller to close its connection. */
    public data object ReportUnready : ShutdownAction

    /** The listener is closed; requests on open connections are still served. */
    public data object StopAccepting : ShutdownAction

    /** Every connection without a request is closed that has been idle for at least [idleFor]. */
    public data class CloseIdle(
        public val idleFor: Duration,
    ) : ShutdownAction

    /** No request is in flight and no new one can arrive; the process ends. */
    public data object Exit : ShutdownAction
}

/**
 * Settings of [InstanceShutdown].
 *
 * The balancer counts as having moved its traffic when the instance has been unready for [unreadyFor], which covers two
 * readiness checks of 2 s and their lag, and no connection was opened for [quietFor]. [acceptAtMost] bounds the wait
 * for a balancer that ignores readiness. A connection must have been idle for [idleFor] before it is closed, since a
 * request is more likely to be on its way on one that was just used.
 */
public data class ShutdownSettings(
    public val unreadyFor: Duration = 5.seconds,
    public val quietFor: Duration = 2.seconds,
    public val acceptAtMost: Duration = 60.seconds,
    public val idleFor: Duration = 1.seconds,
) {
    init {
        require(acceptAtMost >= unreadyFor) { "acceptAtMost is $acceptAtMost, must be at least $unreadyFor" }
    }
}

/**
 * Ends an instance without interrupting a request.
 *
 * There is no deadline for the requests in flight: each of them has one of its own.
 */
public class InstanceShutdown(
    private val settings: ShutdownSettings = ShutdownSettings(),
) {
    private enum class Phase { RUNNING, UNREADY, CLOSING, ENDED }

    private val inFlight = HashSet<RequestId>()
    private var phase = Phase.RUNNING
    private var requestedAt = Timestamp.ZERO
    private var lastConnectionAt = Timestamp.ZERO
    private var lastActivityAt = Timestamp.ZERO

    /** Whether the instance reports to the balancer that it takes traffic. */
    public val isReady: Boolean get() = phase == Phase.RUNNING

    /** The number of requests whose answers are not complete. */
    public val requestsInFlight: Int get() = inFlight.size

    /** Returns what to do about [event]. */
    public fun handle(
        now: Timestamp,
        event: ShutdownEvent,
    ): List<ShutdownAction> =
        when (event) {
            ShutdownEvent.Requested -> onRequested(now)
            ShutdownEvent.ConnectionOpened -> onConnectionOpened(now)
            is ShutdownEvent.RequestStarted -> onRequestStarted(now, event.request)
            is ShutdownEvent.RequestFinished -> onRequestFinished(now, event.request)
            ShutdownEvent.Tick -> onTick(now)
        }

    private fun onRequested(now: Timestamp): List<ShutdownAction> {
        if (phase != Phase.RUNNING) return emptyList()
        phase = Phase.UNREADY
        requestedAt = now
        return listOf(ShutdownAction.ReportUnready)
    }

    private fun onConnectionOpened(now: Timestamp): List<ShutdownAction> {
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

    private fun onTick(now: Timestamp): List<ShutdownAction> =
        when (phase) {
            Phase.RUNNING, Phase.ENDED -> emptyList()
            Phase.UNREADY -> if (hasTrafficMoved(now)) stopAccepting() else emptyList()
            Phase.CLOSING -> if (canExit(now)) exit() else listOf(ShutdownAction.CloseIdle(settings.idleFor))
        }

    private fun hasTrafficMoved(now: Timestamp): Boolean {
        val waited = now - requestedAt
        val quiet = waited >= settings.unreadyFor && now - lastConnectionAt >= settings.quietFor
        return quiet || waited >= settings.acceptAtMost
    }

    private fun stopAccepting(): List<ShutdownAction> {
        phase = Phase.CLOSING
        return listOf(ShutdownAction.StopAccepting, ShutdownAction.CloseIdle(settings.idleFor))
    }

    /** Connections that were in use less than [ShutdownSettings.idleFor] ago are still open and may bring a request. */
    private fun canExit(now: Timestamp): Boolean = inFlight.isEmpty() && now - lastActivityAt > settings.idleFor

    private fun exit(): List<ShutdownAction> {
        phase = Phase.ENDED
        return listOf(ShutdownAction.CloseIdle(Duration.ZERO), ShutdownAction.Exit)
    }
}
