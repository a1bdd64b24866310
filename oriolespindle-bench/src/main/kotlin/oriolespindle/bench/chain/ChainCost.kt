package oriolespindle.bench.chain

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.ChainChoice
import oriolespindle.core.chain.ChainPlan
import oriolespindle.core.chain.ChainPlanner
import oriolespindle.core.chain.ChainSelector
import oriolespindle.core.chain.ChainSelectorSettings
import oriolespindle.core.chain.EndpointSpec
import oriolespindle.core.chain.LinkRate
import oriolespindle.core.chain.LoadReport
import oriolespindle.core.chain.ModelSpec
import oriolespindle.core.chain.PrefixHash
import oriolespindle.core.chain.RouteQuery
import oriolespindle.core.chain.Topology
import oriolespindle.core.chain.TopologyChange
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.DurationUnit
import kotlin.time.measureTime

private const val WARM_UP_CHOICES = 200_000
private const val CHOICES = 200_000
private const val PLANS = 15
private val MODEL = ModelSpec(ModelId("m"), layers = 80)
private val FLEET_SIZES = listOf(75, 150, 300, 600)

/** Prints the cost of a selection, a new plan and an update, and how the last two grow with the number of endpoints. */
public fun main() {
    val costs = FLEET_SIZES.map { it to planCost(it) }
    for ((endpoints, cost) in costs) println("$endpoints endpoints: new plan ${cost.plan}, update ${cost.update}")
    println("growth of a new plan: endpoints^${"%.2f".format(exponent(costs.map { it.first to it.second.plan }))}")
    println("growth of an update: endpoints^${"%.2f".format(exponent(costs.map { it.first to it.second.update }))}")
    val plan = ChainPlanner().plan(fleet(endpoints = 300))
    val trimmed = plan.copy(chains = plan.chains.sortedByDescending { it.rate }.take(64))
    println("300 endpoints, ${trimmed.chains.size} chains: ${selectionCost(trimmed, PrefixHash.NONE)} a selection")
    println("the same with a prefix: ${selectionCost(trimmed, PrefixHash(7))}")
}

private class PlanCost(
    val plan: Duration,
    val update: Duration,
)

private fun planCost(endpoints: Int): PlanCost {
    val fleet = fleet(endpoints)
    val planner = ChainPlanner()
    val plans = List(PLANS) { measureTime { planner.plan(fleet) } }
    val updates =
        fleet.endpoints.take(PLANS).map { spec ->
            val leaveCost = measureTime { planner.update(TopologyChange.EndpointLeft(spec.id)) }
            planner.update(TopologyChange.EndpointJoined(spec))
            leaveCost
        }
    return PlanCost(plans.sorted()[PLANS / 2], updates.sorted()[PLANS / 2])
}

/** Returns the slope of a least-squares line through the points on logarithmic scales. */
private fun exponent(costs: List<Pair<Int, Duration>>): Double {
    val points = costs.map { (size, cost) -> ln(size.toDouble()) to ln(cost.toDouble(DurationUnit.SECONDS)) }
    val x = points.map { it.first }.average()
    val y = points.map { it.second }.average()
    return points.sumOf { (it.first - x) * (it.second - y) } / points.sumOf { (it.first - x) * (it.first - x) }
}

private fun selectionCost(
    plan: ChainPlan,
    prefix: PrefixHash,
): Duration {
    val selector = ChainSelector(InstanceId("i"), ChainSelectorSettings(), SplittableRandom(1))
    var now = Timestamp.ZERO
    selector.setPlan(now, plan)
    plan.topology.endpoints.forEach { selector.onLoadReport(now, LoadReport(it.id, now, 9, 0, it.tokensPerSecond)) }

    fun choose(index: Int) {
        now += 100.microseconds
        val request = RequestId("r${index % 1_000}")
        val query = RouteQuery(request, MODEL.id, prefix, 200, 100, 0, ZoneId("z1"))
        val chain: Chain = (selector.choose(now, query) as ChainChoice.Chosen).chain
        selector.onStarted(now, request, chain, tokens = 100)
    }
    repeat(WARM_UP_CHOICES, ::choose)
    return measureTime { repeat(CHOICES, ::choose) } / CHOICES
}

private fun fleet(endpoints: Int): Topology {
    val random = SplittableRandom(1)
    val specs =
        List(endpoints) { i ->
            val width = listOf(20, 40, 16)[i % 3]
            val first = i / 3 % (MODEL.layers / width) * width
            val rate = listOf(8_000.0, 4_000.0, 1_000.0)[random.nextInt(3)] / width
            val layers = LayerRange(first, first + width)
            EndpointSpec(EndpointId("e$i"), "e$i", ZoneId("z${i % 3}"), MODEL.id, layers, rate, "a")
        }
    return Topology(MODEL, specs, emptyList()) { from, to ->
        val linkFactor = (from.id.hashCode() * 31 + to.id.hashCode()).mod(100)
        LinkRate(10.0 * (1 + linkFactor), 500.microseconds)
    }
}
