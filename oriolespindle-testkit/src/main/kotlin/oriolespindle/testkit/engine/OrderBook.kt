package oriolespindle.testkit.engine

import oriolespindle.core.id.LayerRange

internal sealed interface OrderResult {
    data class Applied(
        val state: EngineState,
    ) : OrderResult

    data class Refused(
        val refusal: OrderRefusal,
    ) : OrderResult
}

/** What an engine holds and the orders that changed it. */
internal class OrderBook(
    initial: EngineState,
    private val checksFence: Boolean,
) {
    @get:Synchronized
    var state: EngineState = initial
        private set

    /** The layers that can run now, or null when nothing is loaded. */
    val layers: LayerRange? get() = state.run { if (model == null || end <= first) null else LayerRange(first, end) }

    /** Applies [order], which arrived [ageMillis] ago. */
    @Synchronized
    fun apply(
        order: EngineOrder,
        ageMillis: Long,
    ): OrderResult {
        if (checksFence && order.fence < state.fence) {
            return OrderResult.Refused(OrderRefusal("stale_fence", state.fence))
        }
        if (ageMillis >= order.expiresInMs) return OrderResult.Refused(OrderRefusal("expired"))
        state = changed(order).copy(fence = order.fence, order = order.order)
        return OrderResult.Applied(state)
    }

    private fun changed(order: EngineOrder): EngineState =
        when (order.action) {
            OrderAction.LOAD -> loaded(order)
            OrderAction.UNLOAD -> state.copy(model = null, first = 0, end = 0, adapter = null, version = null)
            OrderAction.ROLE -> state.copy(role = requireNotNull(order.role) { "the field role is missing" })
        }

    private fun loaded(order: EngineOrder): EngineState {
        val layers =
            LayerRange(
                requireNotNull(order.first) { "the field first is missing" },
                requireNotNull(order.end) { "the field end is missing" },
            )
        return state.copy(
            model = requireNotNull(order.model) { "the field model is missing" },
            first = layers.first,
            end = layers.end,
            adapter = order.adapter,
            version = order.version,
        )
    }
}
