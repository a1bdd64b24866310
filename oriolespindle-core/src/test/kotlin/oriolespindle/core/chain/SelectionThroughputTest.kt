package oriolespindle.core.chain

import org.junit.jupiter.api.Test
import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import java.util.SplittableRandom

/** Compares the throughput with the maximum flow; the target of 95% is stated in docs/design.md. */
class SelectionThroughputTest {
    private val fleets =
        mapOf(
            "equal ranges, fast links" to mixedFleet(SplittableRandom(11), 40, listOf(20), slowLinks = false),
            "overlapping ranges, fast links" to mixedFleet(SplittableRandom(12), 40, listOf(16, 20, 40), false),
            "overlapping ranges, slow links" to mixedFleet(SplittableRandom(13), 40, listOf(20, 40, 16)),
        )

    /** 320 streams, 8 for each endpoint, which the load balancer distributes unevenly among the instances. */
    private val streams = listOf(70, 60, 50, 40, 30, 25, 20, 15, 10)

    /** Guards against idle endpoints, and against instances that follow delayed load reports to the same endpoint. */
    @Test
    fun `nine instances with delayed load reports reach 95 percent of the maximum flow`() {
        for ((name, fleet) in fleets) {
            val plan = ChainPlanner().plan(fleet)

            fun fraction(
                streams: List<Int>,
                routing: (instance: Int) -> RoutingStrategy,
            ) = RoutingSimulation(fleet, streams.indices.map(routing), streams, seed = 1).tokensPerSecond() / plan.bound

            fun selectors(candidates: Int) =
                { i: Int ->
                    val settings = ChainSelectorSettings(candidates = candidates)
                    val selector = ChainSelector(InstanceId("i$i"), settings, SplittableRandom(100L + i))
                    selectorStrategy(selector.apply { setPlan(Timestamp.ZERO, plan) })
                }
            val selectorFraction = fraction(streams, selectors(candidates = 4))
            val otherFractions =
                mapOf(
                    "round robin" to fraction(streams) { greedyStrategy(fleet) { _, _ -> 0 } },
                    "least in-flight" to fraction(streams) { greedyStrategy(fleet) { _, inFlight -> inFlight } },
                    "shortest chain" to fraction(streams) { greedyStrategy(fleet) { spec, _ -> -spec.layers.end } },
                )
            val variantFractions =
                mapOf(
                    "one candidate" to fraction(streams, selectors(candidates = 1)),
                    "64 candidates" to fraction(streams, selectors(candidates = 64)),
                    "half the streams" to fraction(streams.map { it / 2 }, selectors(candidates = 4)),
                    "half, one candidate" to fraction(streams.map { it / 2 }, selectors(candidates = 1)),
                    "half, 64 candidates" to fraction(streams.map { it / 2 }, selectors(candidates = 64)),
                )

            println("FIGURE part of the bound, $name: ${plan.bound} tokens/s, ${plan.chains.size} chains")
            val all = mapOf("selector" to selectorFraction) + otherFractions + variantFractions
            println(all.entries.joinToString(prefix = "FIGURE   ") { "${it.key} %.3f".format(it.value) })
            expectThat(selectorFraction).isGreaterThanOrEqualTo(0.95)
            expectThat(selectorFraction).isGreaterThan(otherFractions.values.max())
        }
    }
}
