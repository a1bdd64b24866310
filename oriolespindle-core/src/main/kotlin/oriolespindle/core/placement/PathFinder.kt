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
    /**
     * The same while the load is known from all instances.
     *
     * Engines run requests in batches, so at a full memory a step takes 1.3 to 1.5 times as long by the figures of the
     * models. A higher weight sends requests to accelerators that take several times as long for each step.
     */
    public val knownLoadWeight: Double = 1.0,
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
     * With [balance], instances with the same view choose different paths of about the same cost, a full endpoint is
     * used only if no path of its zone avoids it, and an unknown load of another zone is taken as the own zone's mean.
     */
    public fun find(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
        load: (EndpointId) -> Double,
        avoid: Set<EndpointId> = emptySet(),
        pace: (EndpointId) -> Double = { 1.0 },
        mayBeFirst: (EndpointId) -> Boolean = { true },
        balance: PathBalance? = null,
    ): LayerPath? {
        val mayUse = { endpoint: RelayEndpoint -> isUsable(model, endpoint) && endpoint.id !in avoid }
        val weigh = { endpoint: RelayEndpoint, load: Double -> holder(model, endpoint, load, pace, balance) }
        val known = { endpoint: RelayEndpoint -> weigh(endpoint, load(endpoint.id)) }
        val ownMembers = endpoints.filter { it.zone == zone && mayUse(it) }
        val own = shortest(model, ownMembers, known, mayBeFirst)
        if (own != null && !mayOtherZoneBeCheaper(model, own)) return own
        val usable = endpoints.filter(mayUse)
        val other =
            usable
                .groupBy { it.zone }
                .filter { (other, members) -> other != zone && mayBeCheaper(model, members, own) }
                .mapNotNull { (other, members) ->
                    val least = if (balance?.isKnown(other) == false) meanLoad(ownMembers, load) else 0.0
                    shortest(model, members, { weigh(it, maxOf(load(it.id), least)) }, mayBeFirst)
                }.minByOrNull { it.stepMillis }
        return when {
            own == null -> other ?: shortest(model, usable, known, mayBeFirst)
            other == null || own.stepMillis <= other.stepMillis + settings.otherZonePenaltyMillis -> own
            else -> other
        }
    }

    private fun isUsable(
        model: ModelLayout,
        endpoint: RelayEndpoint,
    ): Boolean {
        val hasLayers = endpoint.layers?.let { it in model } ?: false
        return hasLayers && endpoint.accelerator in model.accelerators
    }

    /** Whether the fastest accelerator of [model] without load could make up for the penalty of another zone. */
    private fun mayOtherZoneBeCheaper(
        model: ModelLayout,
        own: LayerPath,
    ): Boolean {
        val leastMillis = model.stepMillis * model.accelerators.values.minOf { it.stepFactor }
        return leastMillis + settings.otherZonePenaltyMillis < own.stepMillis
    }

    /** Whether the fastest accelerator among [members] without load could make up for the penalty of another zone. */
    private fun mayBeCheaper(
        model: ModelLayout,
        members: List<RelayEndpoint>,
        own: LayerPath?,
    ): Boolean {
        if (own == null) return true
        val leastMillis = members.minOf { layerMillis(model, it) } * model.layers
        return leastMillis + settings.otherZonePenaltyMillis < own.stepMillis
    }

    /**
     * Dijkstra's algorithm over layer boundaries; edges lead to higher positions, so one pass in order is enough.
     *
     * It runs for each request, so its cost per boundary depends on the endpoints that hold the layer there only.
     */
    private fun shortest(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
        weigh: (RelayEndpoint) -> Holder,
        mayBeFirst: (EndpointId) -> Boolean,
    ): LayerPath? {
        val holders = endpoints.map(weigh)
        val boundaries = boundaries(model, endpoints)
        val best = arrayOfNulls<Node>(boundaries.size)
        best[0] = Node(position = 0, cost = 0.0, holder = null, previous = null)
        for (index in 0 until boundaries.lastIndex) {
            val node = best[index] ?: continue
            if (node.partCount >= settings.maxParts) continue
            for (holder in holders) {
                if (node.position !in holder.layers.first until holder.layers.end || node.uses(holder)) continue
                if (node.position == 0 && !mayBeFirst(holder.endpoint.id)) continue
                extend(node, index, holder, boundaries, best)
            }
        }
        val end = best.last() ?: return null
        val nodes = generateSequence(end) { it.previous }.toList()
        return LayerPath(nodes.mapNotNull { it.part() }.reversed(), end.cost + nodes.sumOf { it.costCorrection() })
    }

    private fun extend(
        node: Node,
        index: Int,
        holder: Holder,
        boundaries: IntArray,
        best: Array<Node?>,
    ) {
        val start = node.cost + hopMillis(node.holder?.endpoint, holder.endpoint)
        var next = index + 1
        while (next < boundaries.size && boundaries[next] <= holder.layers.end) {
            val cost = start + (boundaries[next] - node.position) * holder.layerMillis
            val known = best[next]
            if (known == null || cost < known.cost) best[next] = Node(boundaries[next], cost, holder, node)
            next++
        }
    }

    /** An endpoint and the cost of one layer on it, in milliseconds. */
    private class Holder(
        val endpoint: RelayEndpoint,
        /** Decides between the endpoints of a zone. */
        val layerMillis: Double,
        /** Decides between zones; without the random factor and the factor of the load. */
        val estimatedMillis: Double = layerMillis,
    ) {
        val layers = checkNotNull(endpoint.layers)
    }

    /** The cheapest way to run the layers before [position]; its last part runs on [holder]. */
    private class Node(
        val position: Int,
        val cost: Double,
        val holder: Holder?,
        val previous: Node?,
    ) {
        val partCount: Int = if (previous == null) 0 else previous.partCount + 1

        fun uses(other: Holder): Boolean {
            var node: Node? = this
            while (node != null) {
                if (node.holder === other) return true
                node = node.previous
            }
            return false
        }

        /** The difference between the estimated cost of the last part and the cost that decided for it. */
        fun costCorrection(): Double =
            if (holder == null || previous == null) {
                0.0
            } else {
                (position - previous.position) * (holder.estimatedMillis - holder.layerMillis)
            }

        fun part(): PathPart? =
            if (holder == null || previous == null) {
                null
            } else {
                PathPart(holder.endpoint, LayerRange(previous.position, position))
            }
    }

    /** Returns the layers at which a range of an endpoint begins or ends, in order, with 0 and the number of layers. */
    private fun boundaries(
        model: ModelLayout,
        endpoints: List<RelayEndpoint>,
    ): IntArray {
        val isBoundary = BooleanArray(model.layers + 1)
        isBoundary[0] = true
        isBoundary[model.layers] = true
        for (endpoint in endpoints) {
            val held = checkNotNull(endpoint.layers)
            if (held.first <= model.layers) isBoundary[held.first] = true
            if (held.end <= model.layers) isBoundary[held.end] = true
        }
        return (0..model.layers).filter { isBoundary[it] }.toIntArray()
    }

    private fun layerMillis(
        model: ModelLayout,
        endpoint: RelayEndpoint,
    ): Double =
        model.stepMillis * model.accelerators.getValue(checkNotNull(endpoint.accelerator)).stepFactor / model.layers

    private fun holder(
        model: ModelLayout,
        endpoint: RelayEndpoint,
        load: Double,
        pace: (EndpointId) -> Double,
        balance: PathBalance?,
    ): Holder {
        val paced = layerMillis(model, endpoint) * paceFactor(pace(endpoint.id))
        if (balance == null) return Holder(endpoint, paced * loadFactor(load))
        val full = if (load >= settings.fullThreshold) FULL_MILLIS else 0.0
        val choiceLoad = load * balance.loadFactor(endpoint.id)
        val choice = paced * balance.randomFactor() * (1 + settings.knownLoadWeight * choiceLoad * choiceLoad)
        return Holder(endpoint, choice + full, paced * (1 + settings.knownLoadWeight * load * load) + full)
    }

    private fun meanLoad(
        members: List<RelayEndpoint>,
        load: (EndpointId) -> Double,
    ): Double = if (members.isEmpty()) 0.0 else members.sumOf { load(it.id) } / members.size

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

        /** Added for each layer of a full endpoint; more than a path that avoids it can cost. */
        const val FULL_MILLIS = 10_000.0
    }
}
