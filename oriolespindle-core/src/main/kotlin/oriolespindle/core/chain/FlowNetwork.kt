package oriolespindle.core.chain

import org.jgrapht.alg.flow.DinicMFImpl
import org.jgrapht.graph.DefaultWeightedEdge
import org.jgrapht.graph.SimpleDirectedWeightedGraph
import kotlin.math.min

/** A directed arc of a [FlowNetwork]; capacity and flow are in whole units. */
internal class Arc(
    val from: Int,
    val to: Int,
    var capacity: Long,
) {
    var flow: Long = 0

    val residual: Long get() = capacity - flow
}

/**
 * A flow network whose flow can be reduced along paths and augmented to the maximum again.
 *
 * Capacities are whole numbers so that sums of flows are exact; they stay below 2^53 and are therefore exact as
 * doubles, too.
 */
internal class FlowNetwork(
    private val source: Int,
    private val sink: Int,
) {
    private val outgoing = HashMap<Int, LinkedHashMap<Int, Arc>>()
    private val incoming = HashMap<Int, LinkedHashMap<Int, Arc>>()

    fun arc(
        from: Int,
        to: Int,
    ): Arc? = outgoing[from]?.get(to)

    fun arcsFrom(vertex: Int): Collection<Arc> = outgoing[vertex]?.values ?: emptyList()

    /** Adds an arc or sets its capacity; the caller must first reduce a flow that exceeds it. */
    fun setArcCapacity(
        from: Int,
        to: Int,
        capacity: Long,
    ) {
        val existing = arc(from, to)
        if (existing != null) {
            check(existing.flow <= capacity) { "arc $from-$to carries ${existing.flow}, more than $capacity" }
            existing.capacity = capacity
            return
        }
        val arc = Arc(from, to, capacity)
        outgoing.getOrPut(from) { LinkedHashMap() }[to] = arc
        incoming.getOrPut(to) { LinkedHashMap() }[from] = arc
    }

    /** Removes a vertex and its arcs, which must not carry flow. */
    fun removeVertex(vertex: Int) {
        for (arc in outgoing.remove(vertex)?.values.orEmpty()) {
            check(arc.flow == 0L) { "arc ${arc.from}-${arc.to} still carries ${arc.flow}" }
            incoming[arc.to]?.remove(vertex)
        }
        for (arc in incoming.remove(vertex)?.values.orEmpty()) {
            check(arc.flow == 0L) { "arc ${arc.from}-${arc.to} still carries ${arc.flow}" }
            outgoing[arc.from]?.remove(vertex)
        }
    }

    /** Reduces the flow along [path] by [units]. */
    fun reduce(
        path: List<Int>,
        units: Long,
    ) {
        for (i in 0 until path.lastIndex) {
            val arc = checkNotNull(arc(path[i], path[i + 1])) { "no arc ${path[i]}-${path[i + 1]}" }
            check(arc.flow >= units) { "arc ${arc.from}-${arc.to} carries ${arc.flow}, less than $units" }
            arc.flow -= units
        }
    }

    /** Augments the current flow to the maximum flow. */
    fun augment() {
        if (!isSinkReachable()) return
        val graph = residualGraph()
        val flows = DinicMFImpl(graph).getMaximumFlow(source, sink).flowMap
        for ((edge, value) in flows) {
            val units = Math.round(value)
            if (units == 0L) continue
            push(graph.getEdgeSource(edge), graph.getEdgeTarget(edge), units)
        }
    }

    private fun push(
        from: Int,
        to: Int,
        units: Long,
    ) {
        val forward = arc(from, to)
        if (forward != null) {
            forward.flow += units
        } else {
            checkNotNull(arc(to, from)).flow -= units
        }
    }

    private fun isSinkReachable(): Boolean {
        val seen = hashSetOf(source)
        val open = ArrayDeque<Int>().apply { add(source) }
        while (open.isNotEmpty()) {
            val vertex = open.removeFirst()
            if (vertex == sink) return true
            for (arc in arcsFrom(vertex)) {
                if (arc.residual > 0 && seen.add(arc.to)) open.add(arc.to)
            }
            for (arc in incoming[vertex]?.values.orEmpty()) {
                if (arc.flow > 0 && seen.add(arc.from)) open.add(arc.from)
            }
        }
        return false
    }

    private fun residualGraph(): SimpleDirectedWeightedGraph<Int, DefaultWeightedEdge> {
        val graph = SimpleDirectedWeightedGraph<Int, DefaultWeightedEdge>(DefaultWeightedEdge::class.java)
        graph.addVertex(source)
        graph.addVertex(sink)
        for (arcs in outgoing.values) {
            for (arc in arcs.values) {
                graph.addVertex(arc.from)
                graph.addVertex(arc.to)
                graph.addResidual(arc.from, arc.to, arc.residual)
                graph.addResidual(arc.to, arc.from, arc.flow)
            }
        }
        return graph
    }

    private fun SimpleDirectedWeightedGraph<Int, DefaultWeightedEdge>.addResidual(
        from: Int,
        to: Int,
        units: Long,
    ) {
        if (units > 0) setEdgeWeight(addEdge(from, to), units.toDouble())
    }

    /**
     * Decomposes the flow into paths whose units add up to it.
     *
     * [keep] are the paths of an earlier decomposition. They are reused first, as far as the flow still contains them,
     * so that a small change of the flow leaves most paths unchanged.
     */
    fun decompose(keep: List<FlowPath>): List<FlowPath> {
        val remaining = HashMap<Arc, Long>()
        for (arcs in outgoing.values) {
            for (arc in arcs.values) if (arc.flow > 0) remaining[arc] = arc.flow
        }
        val result = ArrayList<FlowPath>()
        for (kept in keep) {
            val arcs = kept.vertices.zipWithNext().map { (from, to) -> arc(from, to) }
            takePath(arcs, kept.units, remaining)?.let { result.add(FlowPath(kept.vertices, it)) }
        }
        while (true) {
            val arcs = largestPath(remaining) ?: return result
            val units = checkNotNull(takePath(arcs, Long.MAX_VALUE, remaining))
            result.add(FlowPath(listOf(source) + arcs.map { it.to }, units))
        }
    }

    private fun takePath(
        arcs: List<Arc?>,
        maxUnits: Long,
        remaining: HashMap<Arc, Long>,
    ): Long? {
        val units = arcs.fold(maxUnits) { smallest, arc -> min(smallest, remaining[arc] ?: 0L) }
        if (units == 0L) return null
        for (arc in arcs) remaining.merge(checkNotNull(arc), -units, Long::plus)
        return units
    }

    // Layers only increase along arcs, so the flow has no cycles and a path of positive flow always reaches the sink.
    private fun largestPath(remaining: Map<Arc, Long>): List<Arc>? {
        val path = ArrayList<Arc>()
        var vertex = source
        while (vertex != sink) {
            val arc = arcsFrom(vertex).maxByOrNull { remaining[it] ?: 0L }
            if (arc == null || (remaining[arc] ?: 0L) == 0L) {
                check(path.isEmpty()) { "vertex $vertex has inflow but no outflow" }
                return null
            }
            path.add(arc)
            vertex = arc.to
        }
        return path
    }
}

/** A part of a flow along one path from the source to the sink. */
internal class FlowPath(
    val vertices: List<Int>,
    val units: Long,
)
