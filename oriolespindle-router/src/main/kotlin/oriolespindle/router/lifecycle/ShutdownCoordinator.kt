package oriolespindle.router.lifecycle

import oriolespindle.core.id.RequestId
import oriolespindle.core.lifecycle.InstanceShutdown
import oriolespindle.core.lifecycle.ShutdownAction
import oriolespindle.core.lifecycle.ShutdownEvent
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration.Companion.milliseconds

/** Feeds the shutdown decisions with what happens on connections of any thread, and passes on their actions. */
internal class ShutdownCoordinator(
    settings: ShutdownSettings,
    private val timers: TimerService,
    private val perform: (ShutdownAction) -> Unit,
) {
    private val stateMachine = InstanceShutdown(settings)

    val isReady: Boolean
        @Synchronized get() = stateMachine.isReady

    fun requestShutdown() {
        handle(ShutdownEvent.Requested)
        timers.every(TICK_INTERVAL) { handle(ShutdownEvent.Tick) }
    }

    fun onConnectionOpened() = handle(ShutdownEvent.ConnectionOpened)

    /** Work named [id] must end before the instance does: a request, or the stored outcome of a claimed call. */
    fun onWorkStarted(id: RequestId) = handle(ShutdownEvent.RequestStarted(id))

    fun onWorkFinished(id: RequestId) = handle(ShutdownEvent.RequestFinished(id))

    private fun handle(event: ShutdownEvent) {
        val actions = synchronized(this) { stateMachine.handle(monotonicNow(), event) }
        actions.forEach(perform)
    }

    private companion object {
        val TICK_INTERVAL = 100.milliseconds
    }
}
