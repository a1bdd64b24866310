package oriolespindle.router.relay

import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.ServerExchange
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration

/**
 * Holds the requests that arrive before the instance has its configuration and endpoints.
 *
 * After a loss of power all callers come back at once, to instances that will know what to do within a fraction of a
 * second; a refusal would use up their last attempt. A request that has waited for [maxWait] is refused. Confined to
 * the event loop.
 */
internal class StartupQueue(
    private val timers: TimerService,
    private val maxWait: Duration,
    private val refuse: (ServerExchange) -> Unit,
    private val serve: (ServerExchange, arrivedAt: Timestamp) -> Unit,
) {
    private val waiting = LinkedHashMap<ServerExchange, Timestamp>()

    fun hold(exchange: ServerExchange) {
        waiting[exchange] = monotonicNow()
        exchange.onClosed = { waiting.remove(exchange) }
        timers.after(maxWait) { if (waiting.remove(exchange) != null) refuse(exchange) }
    }

    /** Refuses all requests that are still waiting. */
    fun refuseAll() {
        val refused = waiting.keys.toList()
        waiting.clear()
        refused.forEach(refuse)
    }

    /** Serves all requests that are still waiting, in the order of their arrival. */
    fun release() {
        val released = waiting.toMap()
        waiting.clear()
        released.forEach(serve)
    }
}
