package oriolespindle.router.lifecycle

import oriolespindle.core.id.RequestId
import oriolespindle.core.lifecycle.InstanceShutdown
import oriolespindle.core.lifecycle.ShutdownAction
import oriolespindle.core.lifecycle.ShutdownEvent
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.time.Timestamp
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Feeds connection and request events of any thread to the [InstanceShutdown] state machine.
 *
 * The actions that it decides on are passed to [perform] on the thread of the event.
 */
internal class ShutdownCoordinator(
    settings: ShutdownSettings,
    private val timers: TimerService,
    private val perform: (ShutdownAction) -> Unit,
) {
    private val stateMachine = InstanceShutdown(settings)

    val isReady: Boolean
        @Synchronized get() = stateMachine.isReady

    /** The time since the shutdown was requested; null before. */
    val stoppingFor: Duration?
        @Synchronized get() = stateMachine.stoppingFor(monotonicNow())

    /** The time until requests in flight are ended; null before the shutdown or if it has no limit. */
    val timeLeft: Duration?
        @Synchronized get() = stateMachine.timeLeft(monotonicNow())

    /** When requests in flight are ended; null before the shutdown or if they may take any time. */
    val endAt: Timestamp?
        get() = timeLeft?.let { monotonicNow() + it }

    /** The number of requests in flight, including those that have not arrived completely. */
    val requestsInFlight: Int
        @Synchronized get() = stateMachine.requestsInFlight

    /** Begins the shutdown; it was requested at [at], which may be earlier if this thread was occupied. */
    fun requestShutdown(at: Timestamp = monotonicNow()) {
        handle(ShutdownEvent.Requested, at)
        timers.every(TICK_INTERVAL) { handle(ShutdownEvent.Tick) }
    }

    fun onConnectionOpened() = handle(ShutdownEvent.ConnectionOpened)

    fun onConnectionClosed() = handle(ShutdownEvent.ConnectionClosed)

    /** Registers work that must end before the instance stops: a request, or storing the outcome of a claimed call. */
    fun onWorkStarted(id: RequestId) = handle(ShutdownEvent.RequestStarted(id))

    /** Removes work registered by [onWorkStarted]. */
    fun onWorkFinished(id: RequestId) = handle(ShutdownEvent.RequestFinished(id))

    /** Called when a request was refused because it may not end before the instance does. */
    fun onRequestRefused() = handle(ShutdownEvent.RequestRefused)

    private fun handle(
        event: ShutdownEvent,
        now: Timestamp = monotonicNow(),
    ) {
        val actions = synchronized(this) { stateMachine.handle(now, event) }
        actions.forEach(perform)
    }

    private companion object {
        val TICK_INTERVAL = 100.milliseconds
    }
}
