package oriolespindle.core.placement

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ZoneId
import oriolespindle.core.relay.RelayEndpoint

/** One part of a path, in which [endpoint] runs [layers]; the endpoint may hold more. */
public data class PathPart(
    public val endpoint: RelayEndpoint,
    public val layers: LayerRange,
)

/** A sequence of endpoints that together run every layer of a model once, in order. */
public data class LayerPath(
    public val parts: List<PathPart>,
    /** The estimated time of one token, in milliseconds. */
    public val stepMillis: Double,
) {
    /** The endpoint that receives the request. */
    public val first: RelayEndpoint get() = parts.first().endpoint
}

/** The settings of [PathFinder]. */
public data class PathSettings(
    /** The cost of a hop within a zone, in milliseconds. */
    public val sameZoneHopMillis: Double = 0.3,
    /** The cost of a hop to another zone, in milliseconds: its delay and the bytes of each token's activations. */
    public val otherZoneHopMillis: Double = 8.0,
    /** The cost per token of using another zone, in milliseconds, so that only a loaded zone sends requests away. */
    public val otherZonePenaltyMillis: Double = 15.0,
    /** The relative increase of an endpoint's cost at a load of 1; the increase is quadratic in the load. */
    public val loadWeight: Double = 4.0,
    /** The fraction of an endpoint's memory for requests from which it counts as full. */
    public val fullThreshold: Double = 0.9,
    /** The most parts of a path that an engine accepts. */
    public val maxParts: Int = 32,
)

/** Finds the fastest path through the endpoints that hold a model's layers. */
public class PathFinder(
    private val zone: ZoneId,
    private val settings: PathSettings = PathSettings(),
) {
    /**
     * Returns the path with the lowest cost, or null if no path covers all layers.
     *
     * A path within one zone is preferred, with a penalty for zones other than the own; a path over several zones is
     * used only if there is none within a zone. [load] returns the utilization of an endpoint's memory for requests,
     * [pace] the duration of its steps relative to the usual one, and [mayBeFirst] whether it accepts another request.
     */
    public fun find(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
        load: (EndpointId) -> Double,
        avoid: Set<EndpointId> = emptySet(),
        pace: (EndpointId) -> Double = { 1.0 },
        mayBeFirst: (EndpointId) -> Boolean = { true },
    ): LayerPath? {
        val costFactor = { endpoint: EndpointId -> loadFactor(load(endpoint)) * paceFactor(pace(endpoint)) }
        val usable = endpoints.filter { it.layers != null && it.accelerator in model.accelerators && it.id !in avoid }
        val zonePaths =
            usable
                .groupBy { it.zone }
                .mapNotNull { (other, members) ->
                    val penalty = if (other == zone) 0.0 else settings.otherZonePenaltyMillis
                    shortest(model, members, costFactor, mayBeFirst)?.let { it to it.stepMillis + penalty }
                }
        return zonePaths.minByOrNull { it.second }?.first ?: shortest(model, usable, costFactor, mayBeFirst)
    }

    private class Node(
        val position: Int,
        val cost: Double,
        val part: PathPart?,
        val previous: Node?,
        val partCount: Int,
    ) {
        fun uses(endpoint: EndpointId): Boolean =
            generateSequence(this) { it.previous }.any {
                it.part?.endpoint?.id ==
                    endpoint
            }
    }

    /** Dijkstra's algorithm over layer boundaries; edges lead to higher positions, so one pass in order is enough. */
    private fun shortest(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
        costFactor: (EndpointId) -> Double,
        mayBeFirst: (EndpointId) -> Boolean,
    ): LayerPath? {
        val factors = endpoints.associate { it.id to costFactor(it.id) }
        val boundaries = boundaries(model, endpoints)
        val best = HashMap<Int, Node>()
        best[0] = Node(position = 0, cost = 0.0, part = null, previous = null, partCount = 0)
        for (position in boundaries) {
            val node = best[position] ?: continue
            if (node.partCount >= settings.maxParts) continue
            for (endpoint in endpoints) {
                val held = checkNotNull(endpoint.layers)
                if (position < held.first || position >= held.end || node.uses(endpoint.id)) continue
                if (position == 0 && !mayBeFirst(endpoint.id)) continue
                extend(model, node, endpoint, boundaries, factors.getValue(endpoint.id), best)
            }
        }
        val end = best[model.layers] ?: return null
        val parts = generateSequence(end) { it.previous }.mapNotNull { it.part }.toList().reversed()
        return LayerPath(parts, end.cost)
    }

    private fun extend(
        model: ModelLayout,
        node: Node,
        endpoint: RelayEndpoint,
        boundaries: List<Int>,
        factor: Double,
        best: MutableMap<Int, Node>,
    ) {
        val held = checkNotNull(endpoint.layers)
        val layerMillis = layerMillis(model, endpoint) * factor
        val hop = hopMillis(node.part?.endpoint, endpoint)
        for (next in boundaries) {
            if (next <= node.position || next > held.end) continue
            val cost = node.cost + hop + (next - node.position) * layerMillis
            val known = best[next]
            if (known != null && known.cost <= cost) continue
            val part = PathPart(endpoint, LayerRange(node.position, next))
            best[next] = Node(next, cost, part, node, node.partCount + 1)
        }
    }

    private fun boundaries(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
    ): List<Int> =
        endpoints
            .flatMap { endpoint -> endpoint.layers?.let { listOf(it.first, it.end) }.orEmpty() }
            .plus(listOf(0, model.layers))
            .filter { it <= model.layers }
            .distinct()
            .sorted()

    private fun layerMillis(
        model: ModelLayout,
        endpoint: RelayEndpoint,
    ): Double =
        model.stepMillis * model.accelerators.getValue(checkNotNull(endpoint.accelerator)).stepFactor / model.layers

    private fun loadFactor(load: Double): Double =
        if (load >= settings.fullThreshold) FULL_FACTOR else 1 + settings.loadWeight * load * load

    /** Quadratic, because a slow endpoint takes longer for each step and has capacity for fewer of them. */
    private fun paceFactor(pace: Double): Double = pace * pace

    private fun hopMillis(
        from: RelayEndpoint?,
        to: RelayEndpoint,
    ): Double =
        when {
            from == null -> 0.0
            from.zone == to.zone -> settings.sameZoneHopMillis
            else -> settings.otherZoneHopMillis
        }

    private companion object {
        /** Makes a full endpoint the last choice without excluding it, since the load is an estimate. */
        const val FULL_FACTOR = 100.0
    }
}
