package oriolespindle.core.chain

import org.jgrapht.Graphs
import org.jgrapht.alg.flow.PushRelabelMFImpl
import org.jgrapht.graph.DefaultWeightedEdge
import org.jgrapht.graph.SimpleDirectedWeightedGraph
import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.SplittableRandom
import kotlin.math.abs
import kotlin.time.Duration.Companion.milliseconds

class ChainPlannerTest {
    /** Guards against skipped layers when the range of an endpoint overlaps that of its predecessor. */
    @Test
    fun `an endpoint runs only the layers of its range that its predecessor has not run`() {
        val plan = ChainPlanner().plan(topology(listOf(endpoint("a", 0, 50, 10.0), endpoint("b", 30, 80, 7.0))))

        expectThat(plan.bound).isEqualTo(7.0)
        expectThat(
            plan.chains
                .single()
                .chain.stages
                .map { "${it.endpoint}${it.layers}" },
        ).isEqualTo(listOf("a[0, 50)", "b[50, 80)"))
    }

    /** Guards against a plan whose rate exceeds the capacity of a slow link. */
    @Test
    fun `a slow link limits the chains that use it`() {
        val specs = listOf(endpoint("a", 0, 40, 10.0), endpoint("b", 40, 80, 10.0), endpoint("c", 40, 80, 3.0))
        val slow = LinkSpec(EndpointId("a"), EndpointId("b"), 2.0, 1.milliseconds)

        expectThat(ChainPlanner().plan(topology(specs, listOf(slow))).bound).isEqualTo(5.0)
    }

    /** Guards against a plan with chains although no endpoint holds some layer. */
    @Test
    fun `the plan is empty if no endpoint holds some layer`() {
        val plan = ChainPlanner().plan(topology(listOf(endpoint("a", 0, 40, 10.0), endpoint("b", 41, 80, 10.0))))

        expectThat(plan.bound).isEqualTo(0.0)
        expectThat(plan.chains).isEqualTo(emptyList())
    }

    /** Guards against a decomposition that overloads endpoints, and against errors that add up over many updates. */
    @Test
    fun `after any series of changes the plan equals the maximum flow of an independent solver`() {
        for (seed in 1L..20L) {
            val random = SplittableRandom(seed)
            val fleet = mixedFleet(random, 40, listOf(20, 40, 16))
            val planner = ChainPlanner()
            expectValid(planner.plan(fleet))
            repeat(30) {
                val spec = fleet.endpoints[random.nextInt(fleet.endpoints.size)]
                val change =
                    when (random.nextInt(4)) {
                        0 -> {
                            TopologyChange.EndpointLeft(spec.id)
                        }

                        1 -> {
                            TopologyChange.EndpointJoined(spec)
                        }

                        2 -> {
                            TopologyChange.EndpointRate(spec.id, spec.tokensPerSecond * random.nextInt(3) / 2)
                        }

                        else -> {
                            val link = fleet.links[random.nextInt(fleet.links.size)]
                            TopologyChange.LinkChanged(link.copy(tokensPerSecond = random.nextInt(200).toDouble()))
                        }
                    }
                expectValid(planner.update(change))
            }
        }
    }

    /** Guards against an update that reroutes chains that are not affected by a failure. */
    @Test
    fun `when an endpoint leaves, an update keeps more of the other chains than a new plan`() {
        val kept =
            List(
                20,
            ) { seed -> keptWhenFirstEndpointLeaves(mixedFleet(SplittableRandom(seed + 1L), 40, listOf(16, 40))) }

        val figures = listOf(kept.map { it.first }.average(), kept.map { it.second }.average())
        println("FIGURE part of other chains' rates kept when an endpoint leaves, update and new plan: $figures")
        expectThat(kept.sumOf { it.first }).isGreaterThan(1.2 * kept.sumOf { it.second })
    }

    /** Returns the part of the unaffected chains' rates that an update keeps, and the part that a new plan keeps. */
    private fun keptWhenFirstEndpointLeaves(fleet: Topology): Pair<Double, Double> {
        val planner = ChainPlanner()
        val before = planner.plan(fleet)
        val leaving =
            before.chains
                .first()
                .chain.stages
                .first()
                .endpoint
        val untouched = before.chains.filter { leaving !in it.chain }

        fun kept(after: ChainPlan): Double {
            val rates = after.chains.associate { it.chain to it.rate }
            return untouched.sumOf { minOf(it.rate, rates[it.chain] ?: 0.0) } / untouched.sumOf { it.rate }
        }
        val updated = planner.update(TopologyChange.EndpointLeft(leaving))
        return kept(updated) to kept(ChainPlanner().plan(updated.topology))
    }

    private fun expectValid(plan: ChainPlan) {
        expectThat(plan.chains.sumOf { it.rate }).isEqualToWithin(plan.bound)
        expectThat(plan.bound).isEqualToWithin(referenceMaximumFlow(plan.topology))
        val flowByEndpoint = HashMap<EndpointId, Double>()
        for (planned in plan.chains) {
            expectThat(planned.chain.layers).isEqualTo(MODEL.layers)
            planned.chain.stages.forEach { flowByEndpoint.merge(it.endpoint, planned.rate, Double::plus) }
        }
        for (spec in plan.topology.endpoints) {
            expectThat(flowByEndpoint[spec.id] ?: 0.0).isLessThanOrEqualTo(spec.tokensPerSecond + 0.01)
        }
    }

    private fun strikt.api.Assertion.Builder<Double>.isEqualToWithin(other: Double) =
        get { abs(this - other) }.isLessThan(0.1)

    /** Computes the maximum flow with a network and an algorithm that differ from those of the planner. */
    private fun referenceMaximumFlow(topology: Topology): Double {
        val graph = SimpleDirectedWeightedGraph<String, DefaultWeightedEdge>(DefaultWeightedEdge::class.java)
        val links = topology.links.associateBy { it.from to it.to }

        fun edge(
            from: String,
            to: String,
            capacity: Double,
        ) = Graphs.addEdgeWithVertices(graph, from, to, capacity)
        graph.addVertex("source")
        graph.addVertex("sink")
        for (e in topology.endpoints) {
            edge("${e.id}<", "${e.id}>", e.tokensPerSecond)
            if (e.layers.first == 0) edge("source", "${e.id}<", 1e6)
            if (e.layers.end == MODEL.layers) edge("${e.id}>", "sink", 1e6)
            for (f in topology.endpoints) {
                if (f.id == e.id || e.layers.end !in f.layers.first until f.layers.end) continue
                val rate = links[e.id to f.id]?.tokensPerSecond ?: 1e6
                edge("${e.id}>", "${f.id}<", rate)
            }
        }
        return PushRelabelMFImpl(graph).getMaximumFlowValue("source", "sink")
    }
}
