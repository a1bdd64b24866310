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
    private val machine = InstanceShutdown(settings)

    val isReady: Boolean
        @Synchronized get() = machine.isReady

    fun request() {
        handle(ShutdownEvent.Requested)
        timers.every(TICK) { handle(ShutdownEvent.Tick) }
    }

    fun connectionOpened() = handle(ShutdownEvent.ConnectionOpened)

    /** Work named [id] must end before the instance does: a request, or the stored outcome of a claimed call. */
    fun started(id: RequestId) = handle(ShutdownEvent.RequestStarted(id))

    fun finished(id: RequestId) = handle(ShutdownEvent.RequestFinished(id))

    private fun handle(event: ShutdownEvent) {
        val actions = synchronized(this) { machine.handle(monotonicNow(), event) }
        actions.forEach(perform)
    }

    private companion object {
        val TICK = 100.milliseconds
    }
}
