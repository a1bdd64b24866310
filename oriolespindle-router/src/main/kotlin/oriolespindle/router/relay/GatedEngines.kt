package oriolespindle.router.relay

import oriolespindle.core.placement.LayerOrder
import oriolespindle.core.relay.EndpointDirectory
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow

/**
 * Passes control calls on to [engines], except for orders to endpoints that leave and for any call to an endpoint that
 * has asked for a pause: reports and orders are requests, too, and none of them is worth more than an endpoint's rest.
 */
internal class GatedEngines(
    private val engines: EngineCalls,
    private val directory: EndpointDirectory,
) : EngineCalls {
    override fun place(
        order: LayerOrder,
        acceptedOrders: Long,
        fence: Long,
        result: (PlaceResult) -> Unit,
    ) {
        if (directory.isInUse(monotonicNow(), order.endpoint)) {
            engines.place(order, acceptedOrders, fence, result)
        } else {
            EventLog.info("order not sent", "endpoint" to order.endpoint.id, "layers" to order.layers)
            result(PlaceResult.REJECTED)
        }
    }

    override fun acceptedOrders(
        endpoint: RelayEndpoint,
        result: (Long?) -> Unit,
    ) = if (isPaused(endpoint)) result(null) else engines.acceptedOrders(endpoint, result)

    override fun pace(
        endpoint: RelayEndpoint,
        result: (Double?) -> Unit,
    ) = if (isPaused(endpoint)) result(null) else engines.pace(endpoint, result)

    override fun stalledAt(
        first: RelayEndpoint,
        requestId: String,
        result: (StallReport) -> Unit,
    ) = if (isPaused(first)) result(StallReport.NotAsked) else engines.stalledAt(first, requestId, result)

    private fun isPaused(endpoint: RelayEndpoint): Boolean = directory.isPaused(monotonicNow(), endpoint)
}
