package oriolespindle.core.order

import oriolespindle.core.time.Timestamp

/** Decides whether an endpoint may release the layers that it holds. */
internal class LayerCoverage(
    private val trackers: Collection<EndpointTracker>,
) {
    /**
     * Returns whether every layer that [tracker]'s endpoint would release under [command] is held by another endpoint.
     *
     * Another endpoint counts only if it serves, its state was read since [since], and no order for its weights is in
     * flight; otherwise it may no longer hold its layers.
     */
    fun canApply(
        tracker: EndpointTracker,
        command: OrderCommand,
        since: Timestamp,
    ): Boolean {
        val state = checkNotNull(tracker.state)
        if (!tracker.serving || state.loading || !releasesLayers(state, command)) return true
        val layers = state.layers ?: return true
        val others = trackers.filter { it !== tracker && canCover(it, since) && it.state?.model == state.model }
        return (layers.first until layers.end).all { layer ->
            others.any { other -> other.state?.layers?.let { layer in it.first until it.end } ?: false }
        }
    }

    private fun canCover(
        tracker: EndpointTracker,
        since: Timestamp,
    ): Boolean {
        val busy =
            tracker.inFlight
                ?.order
                ?.command
                ?.part == OrderPart.WEIGHTS
        return tracker.serving && !busy && tracker.hasStateSince(since) && tracker.state?.loading == false
    }

    /** A load that only adds layers or an adapter to the same version keeps the held layers in service. */
    private fun releasesLayers(
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
