package oriolespindle.router.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration.Companion.seconds

/** Polls engines for their pace when their streams are late. Confined to the event loop. */
internal class PacePoller(
    private val context: RelayContext,
) {
    /** Polls slow engines periodically until they run at their usual pace again. */
    fun start() {
        context.timers.every(POLL_INTERVAL) { poll(context.paces.slowEndpoints(monotonicNow())) }
    }

    /** Polls those of [endpoints] that have not been polled recently. */
    fun poll(endpoints: List<EndpointId>) {
        for (id in context.paces.selectForQuery(monotonicNow(), endpoints)) {
            val endpoint = context.directory.find(id) ?: continue
            context.engines.pace(endpoint) { pace -> pace?.let { onReport(id, it) } }
        }
    }

    private fun onReport(
        id: EndpointId,
        pace: Double,
    ) {
        val now = monotonicNow()
        val before = context.paces.factor(now, id)
        context.paces.onReport(now, id, pace)
        val after = context.paces.factor(now, id)
        if (before == 1.0 && after > 1.0) EventLog.info("endpoint is slow", "endpoint" to id, "pace" to pace)
        if (before > 1.0 && after == 1.0) EventLog.info("endpoint is as fast as usual", "endpoint" to id)
    }

    private companion object {
        /** Equals the minimum interval between two polls of one endpoint. */
        val POLL_INTERVAL = 1.seconds
    }
}
