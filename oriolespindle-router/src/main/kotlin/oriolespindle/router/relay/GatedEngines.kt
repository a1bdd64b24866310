package oriolespindle.router.relay

import oriolespindle.core.placement.LayerOrder
import oriolespindle.core.relay.EndpointDirectory
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow

/** Passes control calls on to [engines], except for those that an endpoint must not receive any more. */
internal class GatedEngines(
    private val engines: EngineCalls,
    private val directory: EndpointDirectory,
) : EngineCalls by engines {
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
}
