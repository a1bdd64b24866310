package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import kotlin.math.min

/**
 * Computes the chains that carry the maximum flow of tokens through the endpoints and links of one model.
 *
 * Each endpoint is an arc with its token rate as capacity. Endpoint `f` may follow endpoint `e` when `f` holds the
 * layer at which `e` ends and ends later; it then runs the sub-range that starts there. [update] keeps the flow of
 * unaffected chains and reroutes only the rest, so that most chains of the plan remain unchanged.
 */
public class ChainPlanner {
    private var topology: Topology? = null
    private var network = FlowNetwork(SOURCE, SINK)
    private var paths = emptyList<FlowPath>()
    private val vertices = HashMap<EndpointId, Int>()
    private val specs = LinkedHashMap<EndpointId, EndpointSpec>()
    private val specsByVertex = HashMap<Int, EndpointSpec>()
    private val links = HashMap<Pair<EndpointId, EndpointId>, LinkSpec>()
    private var nextVertex = FIRST_VERTEX

    /** Plans [topology] from scratch and discards the previous plan. */
    public fun plan(topology: Topology): ChainPlan {
        this.topology = topology
        network = FlowNetwork(SOURCE, SINK)
        paths = emptyList()
        vertices.clear()
        specs.clear()
        specsByVertex.clear()
        links.clear()
        nextVertex = FIRST_VERTEX
        topology.links.associateByTo(links) { it.from to it.to }
        topology.endpoints.forEach(::addEndpoint)
        return solve()
    }

    /**
     * Applies [change] to the last planned topology and returns the new plan.
     *
     * @throws IllegalStateException if [plan] has not been called.
     */
    public fun update(change: TopologyChange): ChainPlan {
        checkNotNull(topology) { "update() was called before plan()" }
        when (change) {
            is TopologyChange.EndpointJoined -> {
                removeEndpoint(change.endpoint.id)
                change.links.associateByTo(links) { it.from to it.to }
                addEndpoint(change.endpoint)
            }

            is TopologyChange.EndpointLeft -> {
                removeEndpoint(change.endpoint)
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

    private fun addEndpoint(spec: EndpointSpec) {
        specs[spec.id] = spec
        if (!isPlannable(spec)) return
        val vertex = nextVertex
        nextVertex += VERTICES_PER_ENDPOINT
        vertices[spec.id] = vertex
        specsByVertex[vertex] = spec
        network.setArcCapacity(vertex, vertex + 1, toUnits(spec.tokensPerSecond))
        if (spec.layers.first == 0) network.setArcCapacity(SOURCE, vertex, UNLIMITED)
        if (spec.layers.end == model().layers) network.setArcCapacity(vertex + 1, SINK, UNLIMITED)
        for ((otherVertex, other) in specsByVertex) {
            if (canPrecede(other, spec)) network.setArcCapacity(otherVertex + 1, vertex, linkCapacity(other, spec))
            if (canPrecede(spec, other)) network.setArcCapacity(vertex + 1, otherVertex, linkCapacity(spec, other))
        }
    }

    private fun removeEndpoint(id: EndpointId) {
        specs.remove(id) ?: return
        val vertex = vertices.remove(id) ?: return
        setCapacity(vertex, vertex + 1, 0)
        specsByVertex.remove(vertex)
        network.removeVertex(vertex)
        network.removeVertex(vertex + 1)
    }

    private fun changeRate(change: TopologyChange.EndpointRate) {
        val spec = specs[change.endpoint]?.copy(tokensPerSecond = change.tokensPerSecond) ?: return
        specs[spec.id] = spec
        val vertex = vertices[spec.id] ?: return addEndpoint(spec)
        specsByVertex[vertex] = spec
        setCapacity(vertex, vertex + 1, toUnits(spec.tokensPerSecond))
    }

    private fun changeLink(link: LinkSpec) {
        links[link.from to link.to] = link
        val from = vertices[link.from] ?: return
        val to = vertices[link.to] ?: return
        if (network.arc(from + 1, to) != null) setCapacity(from + 1, to, toUnits(link.tokensPerSecond))
    }

    /** Sets the capacity of an arc, after reducing the paths that use it until their flow fits. */
    private fun setCapacity(
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
        network.setArcCapacity(from, to, capacity)
    }

    private fun solve(): ChainPlan {
        network.augment()
        paths = network.decompose(keep = paths)
        val chains = paths.map { PlannedChain(toChain(it), it.units / UNITS_PER_TOKEN) }
        val bound = paths.sumOf { it.units } / UNITS_PER_TOKEN
        val current = checkNotNull(topology).copy(endpoints = specs.values.toList(), links = links.values.toList())
        topology = current
        return ChainPlan(bound, chains, current)
    }

    private fun toChain(path: FlowPath): Chain {
        var boundary = 0
        val stages =
            path.vertices.mapNotNull(specsByVertex::get).map { spec ->
                val layers = LayerRange(boundary, spec.layers.end)
                boundary = layers.end
                Stage(spec.id, layers)
            }
        return Chain(model().id, stages)
    }

    private fun isPlannable(spec: EndpointSpec): Boolean =
        spec.model == model().id && spec.layers.end <= model().layers && spec.tokensPerSecond > 0

    private fun canPrecede(
        first: EndpointSpec,
        second: EndpointSpec,
    ): Boolean = second.layers.first <= first.layers.end && first.layers.end < second.layers.end

    private fun linkCapacity(
        from: EndpointSpec,
        to: EndpointSpec,
    ): Long {
        val measured = links[from.id to to.id]?.tokensPerSecond
        return toUnits(measured ?: checkNotNull(topology).defaultLink(from, to).tokensPerSecond)
    }

    private fun model(): ModelSpec = checkNotNull(topology).model

    private fun toUnits(tokensPerSecond: Double): Long =
        (tokensPerSecond.coerceIn(0.0, MAX_TOKENS_PER_SECOND) * UNITS_PER_TOKEN).toLong()

    private companion object {
        const val SOURCE = 0
        const val SINK = 1
        const val FIRST_VERTEX = 2
        const val VERTICES_PER_ENDPOINT = 2

        /** Flow is counted in thousandths of a token per second; a lower rate does not justify a chain. */
        const val UNITS_PER_TOKEN = 1_000.0

        /** The highest rate in the network. No chain reaches it, and it keeps sums of flow units exact. */
        const val MAX_TOKENS_PER_SECOND = 1e9

        const val UNLIMITED = 1L shl 52
    }
}
