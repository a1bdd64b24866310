package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import kotlin.math.min

/**
 * Computes the chains that carry the maximum flow of tokens through the endpoints and links of one model.
 *
 * Each endpoint is an arc with its token rate as capacity. Endpoint `f` may follow endpoint `e` when `f` holds the
 * layer at which `e` ends and ends later; it then runs the sub-range that starts there. [update] keeps the flow of
 * unaffected chains and only reroutes the rest, so that most chains of the plan stay the same.
 */
public class ChainPlanner {
    private var topology: Topology? = null
    private var network = FlowNetwork(SOURCE, SINK)
    private var paths = emptyList<FlowPath>()
    private val vertices = HashMap<EndpointId, Int>()
    private val specs = LinkedHashMap<EndpointId, EndpointSpec>()
    private val byVertex = HashMap<Int, EndpointSpec>()
    private val links = HashMap<Pair<EndpointId, EndpointId>, LinkSpec>()
    private var nextVertex = FIRST_VERTEX

    /** Plans [topology] from nothing and discards what was planned before. */
    public fun plan(topology: Topology): ChainPlan {
        this.topology = topology
        network = FlowNetwork(SOURCE, SINK)
        paths = emptyList()
        vertices.clear()
        specs.clear()
        byVertex.clear()
        links.clear()
        nextVertex = FIRST_VERTEX
        topology.links.associateByTo(links) { it.from to it.to }
        topology.endpoints.forEach(::add)
        return solve()
    }

    /**
     * Applies [change] to the topology planned last and returns the new plan.
     *
     * @throws IllegalStateException if nothing was planned.
     */
    public fun update(change: TopologyChange): ChainPlan {
        checkNotNull(topology) { "update before the first plan" }
        when (change) {
            is TopologyChange.EndpointJoined -> {
                remove(change.endpoint.id)
                change.links.associateByTo(links) { it.from to it.to }
                add(change.endpoint)
            }

            is TopologyChange.EndpointLeft -> {
                remove(change.endpoint)
            }

            is TopologyChange.EndpointRate -> {
                changeRate(change)
            }

            is TopologyChange.LinkChanged -> {
                changeLink(change.link)
            }
        }
        return solve()
    }

    private fun add(spec: EndpointSpec) {
        specs[spec.id] = spec
        if (!plannable(spec)) return
        val vertex = nextVertex
        nextVertex += VERTICES_PER_ENDPOINT
        vertices[spec.id] = vertex
        byVertex[vertex] = spec
        network.connect(vertex, vertex + 1, units(spec.tokensPerSecond))
        if (spec.layers.first == 0) network.connect(SOURCE, vertex, UNLIMITED)
        if (spec.layers.end == model().layers) network.connect(vertex + 1, SINK, UNLIMITED)
        for ((otherVertex, other) in byVertex) {
            if (follows(other, spec)) network.connect(otherVertex + 1, vertex, linkUnits(other, spec))
            if (follows(spec, other)) network.connect(vertex + 1, otherVertex, linkUnits(spec, other))
        }
    }

    private fun remove(id: EndpointId) {
        specs.remove(id) ?: return
        val vertex = vertices.remove(id) ?: return
        limit(vertex, vertex + 1, 0)
        byVertex.remove(vertex)
        network.remove(vertex)
        network.remove(vertex + 1)
    }

    private fun changeRate(change: TopologyChange.EndpointRate) {
        val spec = specs[change.endpoint]?.copy(tokensPerSecond = change.tokensPerSecond) ?: return
        specs[spec.id] = spec
        val vertex = vertices[spec.id] ?: return add(spec)
        byVertex[vertex] = spec
        limit(vertex, vertex + 1, units(spec.tokensPerSecond))
    }

    private fun changeLink(link: LinkSpec) {
        links[link.from to link.to] = link
        val from = vertices[link.from] ?: return
        val to = vertices[link.to] ?: return
        if (network.arc(from + 1, to) != null) limit(from + 1, to, units(link.tokensPerSecond))
    }

    /** Sets the capacity of an arc and first takes chains off it until its flow fits. */
    private fun limit(
        from: Int,
        to: Int,
        capacity: Long,
    ) {
        var excess = (network.arc(from, to)?.flow ?: 0) - capacity
        paths =
            paths.mapNotNull { path ->
                val at = path.vertices.indexOf(from)
                if (excess <= 0 || at < 0 || path.vertices[at + 1] != to) return@mapNotNull path
                val units = min(excess, path.units)
                network.reduce(path.vertices, units)
                excess -= units
                FlowPath(path.vertices, path.units - units).takeIf { it.units > 0 }
            }
        network.connect(from, to, capacity)
    }

    private fun solve(): ChainPlan {
        network.augment()
        paths = network.paths(keep = paths)
        val chains = paths.map { PlannedChain(chain(it), it.units / UNITS_PER_TOKEN) }
        val bound = paths.sumOf { it.units } / UNITS_PER_TOKEN
        val present = checkNotNull(topology).copy(endpoints = specs.values.toList(), links = links.values.toList())
        topology = present
        return ChainPlan(bound, chains, present)
    }

    private fun chain(path: FlowPath): Chain {
        var boundary = 0
        val stages =
            path.vertices.mapNotNull(byVertex::get).map { spec ->
                val layers = LayerRange(boundary, spec.layers.end)
                boundary = layers.end
                Stage(spec.id, layers)
            }
        return Chain(model().id, stages)
    }

    private fun plannable(spec: EndpointSpec): Boolean =
        spec.model == model().id && spec.layers.end <= model().layers && spec.tokensPerSecond > 0

    private fun follows(
        first: EndpointSpec,
        second: EndpointSpec,
    ): Boolean = second.layers.first <= first.layers.end && first.layers.end < second.layers.end

    private fun linkUnits(
        from: EndpointSpec,
        to: EndpointSpec,
    ): Long {
        val measured = links[from.id to to.id]?.tokensPerSecond
        return units(measured ?: checkNotNull(topology).defaultLink(from, to).tokensPerSecond)
    }

    private fun model(): ModelSpec = checkNotNull(topology).model

    private fun units(tokensPerSecond: Double): Long =
        (tokensPerSecond.coerceIn(0.0, MAX_TOKENS_PER_SECOND) * UNITS_PER_TOKEN).toLong()

    private companion object {
        const val SOURCE = 0
        const val SINK = 1
        const val FIRST_VERTEX = 2
        const val VERTICES_PER_ENDPOINT = 2

        /** Flow is counted in thousandths of a token per second; smaller rates are not worth a chain. */
        const val UNITS_PER_TOKEN = 1_000.0

        /** A link or endpoint above this rate never limits a chain; the limit keeps sums of units exact. */
        const val MAX_TOKENS_PER_SECOND = 1e9

        const val UNLIMITED = 1L shl 52
    }
}
