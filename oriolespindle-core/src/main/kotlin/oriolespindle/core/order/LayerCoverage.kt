package oriolespindle.core.order

import oriolespindle.core.time.Timestamp

/** Decides whether an endpoint may give up the layers that it holds. */
internal class LayerCoverage(
    private val slots: Collection<EndpointSlot>,
) {
    /**
     * Returns whether every layer that [slot] would give up under [command] is held by another endpoint.
     *
     * Only endpoints that serve, whose state was read since [since] and that have no order in flight for their weights
     * count, because any other may not hold its layers any more.
     */
    fun allows(
        slot: EndpointSlot,
        command: OrderCommand,
        since: Timestamp,
    ): Boolean {
        val state = checkNotNull(slot.state)
        if (!slot.serving || state.loading || !givesUp(state, command)) return true
        val layers = state.layers ?: return true
        val others = slots.filter { it !== slot && counts(it, since) && it.state?.model == state.model }
        return (layers.first until layers.end).all { layer ->
            others.any { other -> other.state?.layers?.let { layer in it.first until it.end } ?: false }
        }
    }

    private fun counts(
        slot: EndpointSlot,
        since: Timestamp,
    ): Boolean {
        val busy =
            slot.inFlight
                ?.order
                ?.command
                ?.part == OrderPart.WEIGHTS
        return slot.serving && !busy && slot.readSince(since) && slot.state?.loading == false
    }

    /** A load that only adds layers or an adapter to the same version keeps what is held in service. */
    private fun givesUp(
        state: EndpointState,
        command: OrderCommand,
    ): Boolean {
        val held = state.layers ?: return false
        if (state.model == null) return false
        return when (command) {
            is OrderCommand.ChangeRole -> {
                false
            }

            is OrderCommand.Unload -> {
                command.model == state.model
            }

            is OrderCommand.Load -> {
                val keeps = command.model == state.model && command.version == state.version && held in command.layers
                !keeps
            }
        }
    }
}
