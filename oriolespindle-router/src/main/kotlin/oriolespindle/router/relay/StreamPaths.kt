package oriolespindle.router.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.placement.LayerPath
import oriolespindle.core.placement.ModelLayout
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration

/** Finds paths through the endpoints of [service] that hold the layers of [model], by what this instance knows now. */
internal class StreamPaths(
    private val context: RelayContext,
    private val service: ServiceId,
    private val model: ModelLayout,
) {
    private val usable: List<RelayEndpoint> get() = context.directory.usable(monotonicNow(), service)

    /** Returns the path for a new attempt, whose choice spreads over the paths of about the same cost, or null. */
    fun choose(
        avoid: Set<EndpointId>,
        mayBeFirst: (EndpointId) -> Boolean,
    ): LayerPath? = context.paths.find(model, usable, ::loadOf, avoid, ::pace, mayBeFirst, context.balance)

    /** Returns whether there is a path without the endpoints to [avoid]. */
    fun exists(
        avoid: Set<EndpointId> = emptySet(),
        mayBeFirst: (EndpointId) -> Boolean = { true },
    ): Boolean = context.paths.find(model, usable, ::loadOf, avoid, ::pace, mayBeFirst) != null

    /** Returns whether an endpoint of [path] is slow and new streams can avoid slow endpoints. */
    fun canAvoidSlow(path: LayerPath): Boolean {
        if (!hasSlow(path)) return false
        val next = context.paths.find(model, usable, ::loadOf, pace = ::pace) ?: return false
        return !hasSlow(next)
    }

    /** Returns the pause of the path that can be used if paused endpoints count as usable, and null if another can. */
    fun commonPause(): Duration? {
        val paused = context.directory.paused(monotonicNow(), service)
        if (paused.isEmpty() || exists()) return null
        val next = context.paths.find(model, usable + paused.keys, ::loadOf) ?: return null
        return next.parts.maxOf { paused[it.endpoint] ?: Duration.ZERO }
    }

    private fun hasSlow(path: LayerPath): Boolean = path.parts.any { pace(it.endpoint.id) > 1.0 }

    private fun pace(endpoint: EndpointId): Double = context.paces.factor(monotonicNow(), endpoint)

    private fun loadOf(endpoint: EndpointId): Double {
        val registered = context.directory.find(endpoint)
        val layers = registered?.layers?.size
        val accelerator = model.accelerators[registered?.accelerator]
        if (accelerator == null || layers == null) return 1.0
        return context.load.utilization(model, accelerator, endpoint, layers)
    }
}
