package oriolespindle.router.relay

import oriolespindle.core.placement.LayerPath
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.time.Timestamp
import oriolespindle.router.runtime.monotonicNow

/** Adjusts the limit of a path's first endpoint by the time to the first event of each run of [request]. */
internal class FirstEventLatency(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val paths: StreamPaths?,
) {
    private var isAwaited = false

    fun onRunStarted() {
        isAwaited = true
    }

    /** Records once for each run, started at [startedAt], that its first event has arrived or is late. */
    fun record(
        target: RelayEndpoint?,
        path: LayerPath?,
        startedAt: Timestamp,
    ) {
        if (!isAwaited) return
        isAwaited = false
        val first = target ?: return
        val objective = request.route.objective ?: return
        val now = monotonicNow()
        val latency = now - startedAt
        val isLate = context.concurrency.isLate(latency, objective)
        if (isLate) path?.let(::pollPaces)
        // A slow endpoint further down the path that new streams avoid must not count against the first endpoint.
        if (isLate && path?.let { paths?.canAvoidSlow(it) } == true) {
            context.concurrency.onDelayedElsewhere(now, first.id)
        } else {
            context.concurrency.onFirstEvent(now, first.id, latency, objective)
        }
        context.admission.evaluateSoon(request.service.id)
    }

    /** Asks the engines of [path] for their pace. */
    fun pollPaces(path: LayerPath) = context.pacePoller.poll(path.parts.map { it.endpoint.id })
}
