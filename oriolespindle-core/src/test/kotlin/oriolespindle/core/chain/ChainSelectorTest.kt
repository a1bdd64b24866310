package oriolespindle.core.chain

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ChainSelectorTest {
    private val start = Timestamp.ZERO
    private val pairs = listOf(endpoint("a1", 0, 40, 10.0), endpoint("b1", 40, 80, 10.0, zone = "z2"))
    private val twins = pairs + endpoint("a2", 0, 40, 10.0) + endpoint("b2", 40, 80, 10.0)

    private fun selector(
        endpoints: List<EndpointSpec> = twins,
        seed: Long = 1,
    ): ChainSelector =
        ChainSelector(InstanceId("i$seed"), ChainSelectorSettings(), SplittableRandom(seed)).apply {
            setPlan(start, ChainPlanner().plan(topology(endpoints)))
        }

    private fun ChainSelector.chain(
        query: RouteQuery,
        now: Timestamp = start,
    ): Chain = (choose(now, query) as ChainChoice.Chosen).chain

    private fun ChainSelector.endpointShares(
        count: Int = 400,
        now: Timestamp = start,
    ): Map<EndpointId, Double> =
        List(count) { chain(query("q$it"), now).stages }
            .flatten()
            .groupingBy { it.endpoint }
            .eachCount()
            .mapValues { it.value / count.toDouble() }

    private fun id(name: String) = EndpointId(name)

    /** Guards against an exception instead of a refusal while an instance has no plan. */
    @Test
    fun `the choice is unavailable without a plan and if some layer has no endpoint`() {
        val none = ChainChoice.Unavailable(RefusalReason.NO_CHAIN)
        val fresh = ChainSelector(InstanceId("i"), ChainSelectorSettings(), SplittableRandom(1))

        expectThat(fresh.choose(start, query("q"))).isEqualTo(none)
        expectThat(selector(pairs.take(1)).choose(start, query("q"))).isEqualTo(none)
    }

    /** Guards against a search outside the plan, which visits all links, for each request. */
    @Test
    fun `a choice among planned chains visits no other links`() {
        var lookups = 0
        val counting = topology(twins).copy(defaultLink = { _, _ -> LinkRate(1e6, 1.milliseconds).also { lookups++ } })
        val selector = ChainSelector(InstanceId("i"), ChainSelectorSettings(), SplittableRandom(1))
        selector.setPlan(start, ChainPlanner().plan(counting))
        val planned = lookups

        selector.choose(start, query("q"))

        expectThat(lookups).isEqualTo(planned)
    }

    /** Guards against new work at endpoints that are leaving, down, suspect or avoided by the query. */
    @Test
    fun `endpoints that must not receive work are not chosen`() {
        for (state in listOf(EndpointAvailability.Leaving, EndpointAvailability.Down, EndpointAvailability.Suspect)) {
            val selector = selector()
            selector.setAvailability(start, id("a1"), state)
            expectThat(selector.endpointShares()[id("a1")]).isEqualTo(null)
        }
        repeat(100) { expectThat(id("b1") in selector().chain(query("q", avoid = setOf(id("b1"))))).isEqualTo(false) }
    }

    /** Guards against losing the availability of an endpoint that is set before a plan contains the endpoint. */
    @Test
    fun `an availability that is set before the plan contains the endpoint applies`() {
        val selector = ChainSelector(InstanceId("i"), ChainSelectorSettings(), SplittableRandom(1))
        selector.setAvailability(start, id("a1"), EndpointAvailability.Leaving)
        selector.setPlan(start, ChainPlanner().plan(topology(twins)))

        expectThat(selector.endpointShares()[id("a1")]).isEqualTo(null)
    }

    /** Guards against refusals with an outdated plan although available endpoints hold every layer. */
    @Test
    fun `a chain outside the plan is found when every planned chain has lost an endpoint`() {
        val selector = selector()
        val (first, second) = selector.endpointShares().keys.filter { it.value.startsWith("a") }
        val partner =
            selector
                .chain(query("q", avoid = setOf(second)))
                .stages
                .last()
                .endpoint
        selector.setAvailability(start, first, EndpointAvailability.Down)
        val otherEnd = listOf(id("b1"), id("b2")).single { it != partner }
        selector.setAvailability(start, otherEnd, EndpointAvailability.Leaving)

        expectThat(selector.chain(query("q")).stages.map { it.endpoint }).isEqualTo(listOf(second, partner))
        selector.setAvailability(start, second, EndpointAvailability.Leaving)
        expectThat(selector.choose(start, query("q"))).isEqualTo(ChainChoice.Unavailable(RefusalReason.NO_CHAIN))
        selector.setAvailability(start, second, EndpointAvailability.Suspect)
        expectThat(
            selector
                .chain(query("q"))
                .stages
                .first()
                .endpoint,
        ).isEqualTo(second)
    }

    /** Guards against overloading a new endpoint that reports no load. */
    @Test
    fun `an endpoint in slow start receives a small part of its planned work`() {
        val selector = selector()
        selector.setAvailability(start, id("a1"), EndpointAvailability.Serving(weight = 0.1))

        val chains =
            List(400) { i -> selector.chain(query("q$i")).also { selector.onStarted(start, RequestId("q$i"), it, 10) } }
        expectThat(chains.count { id("a1") in it }).isIn(1..80)
    }

    /** Guards against counting the instance's own sessions a second time when a load report includes them. */
    @Test
    fun `own sessions in a load report do not count as sessions of other instances`() {
        val selector = selector()
        val own = selector.chain(query("q", avoid = setOf(id("a2"))))
        repeat(4) { selector.onStarted(start, RequestId("s$it"), own, tokens = 10) }
        val before = selector.timeForToken(start, query("q"), own)
        selector.onLoadReport(start + 2.seconds, LoadReport(id("a1"), start + 1.seconds, active = 4, queued = 0, 10.0))
        expectThat(selector.timeForToken(start + 2.seconds, query("q"), own)).isEqualTo(before)

        repeat(4) { selector.onFinished(start + 2.seconds, RequestId("s$it")) }
        selector.onLoadReport(start + 3.seconds, LoadReport(id("a1"), start + 1500.milliseconds, 4, 0, 10.0))
        expectThat(selector.timeForToken(start + 3.seconds, query("q"), own)!!).isLessThan(before!! / 2)
    }

    /** Guards against an endpoint that gets no work because an old load report contains a past peak. */
    @Test
    fun `a reported peak counts less as the report ages`() {
        val selector = selector()
        for (i in 0..20) selector.onLoadReport(start + i.seconds, LoadReport(id("a1"), start + i.seconds, 2, 0, 10.0))
        val peak = start + 21.seconds
        selector.onLoadReport(peak, LoadReport(id("a1"), peak, active = 40, queued = 0, 10.0))
        val chain = selector.chain(query("q", avoid = setOf(id("a2"))))

        val fresh = selector.timeForToken(peak, query("q"), chain)!!
        val aged = selector.timeForToken(peak + 15.seconds, query("q"), chain)!!

        expectThat(aged).isLessThan(fresh / 2)
    }

    /** Guards against load reports that arrive out of order. */
    @Test
    fun `an older report does not replace a newer one`() {
        val selector = selector()
        val chain = selector.chain(query("q", avoid = setOf(id("a2"))))
        selector.onLoadReport(start + 3.seconds, LoadReport(id("a1"), start + 2.seconds, active = 0, queued = 0, 10.0))
        selector.onLoadReport(start + 3.seconds, LoadReport(id("a1"), start + 1.seconds, active = 50, queued = 0, 10.0))

        expectThat(selector.timeForToken(start + 3.seconds, query("q"), chain)!!).isLessThan(1.seconds)
    }

    /** Guards against the use of a link that has become slow while another link has its planned latency. */
    @Test
    fun `a degraded link gets little work until the observation expires`() {
        val selector = selector()
        val chain = selector.chain(query("q", avoid = setOf(id("b1"))))
        val (from, to) = chain.stages.map { it.endpoint }
        selector.onLinkObservation(start, LinkObservation(from, to, latency = 500.milliseconds))

        expectThat(selector.endpointShares(now = start + 1.seconds)[from] ?: 0.0).isLessThan(0.25)
        expectThat(selector.endpointShares(now = start + 31.seconds)[from] ?: 0.0).isGreaterThan(0.5)
    }

    /** Guards against traffic between zones although a chain in the caller's zone is equally fast. */
    @Test
    fun `a chain in the zone of the caller wins a tie`() {
        expectThat(selector().endpointShares().getValue(id("b2"))).isGreaterThan(0.8)
    }

    /** Guards against routing an urgent request around sessions that engines would serve after it. */
    @Test
    fun `sessions of lower priority delay an urgent request less`() {
        val selector = selector()
        val chain = selector.chain(query("low", priority = 0))
        selector.onStarted(start, RequestId("low"), chain, tokens = 10)

        expectThat(selector.timeForToken(start, query("q", priority = 1), chain)!!)
            .isLessThan(selector.timeForToken(start, query("q", priority = 0), chain)!!)
    }

    /** Guards against caching a prefix at a different chain for each instance, and against overloading its chain. */
    @Test
    fun `instances agree on the chain of a prefix until its load exceeds the bound`() {
        val fleet = List(8) { endpoint("w$it", 0, 80, 10.0) }
        val instances = List(9) { selector(fleet, seed = it + 1L) }
        for (prefix in 1L..20L) {
            val chains = instances.map { it.chain(query("q", PrefixHash(prefix))) }
            expectThat(chains.toSet().size).isEqualTo(1)
        }

        val hot = instances.first()
        val chosen =
            List(80) { i ->
                val chain = hot.chain(query("h$i", PrefixHash(7)).copy(promptTokens = 20_000), start + i.seconds)
                hot.onStarted(start + i.seconds, RequestId("h$i"), chain, tokens = 10)
                chain
            }
        val busiest =
            chosen
                .groupingBy { it }
                .eachCount()
                .values
                .max()
        expectThat(busiest).isLessThan(15)
    }

    /** Guards against a repair that discards KV cache at stages that are still available. */
    @Test
    fun `kept stages stay in the chain and the gap is filled with a sub-range`() {
        val selector = selector(twins + endpoint("c", 20, 80, 10.0))
        val keep = Stage(id("a1"), LayerRange(0, 30))
        val chain = selector.chain(query("q", keep = listOf(keep), avoid = setOf(id("b1"), id("b2"))))

        expectThat(chain.stages).isEqualTo(listOf(keep, Stage(id("c"), LayerRange(30, 80))))
        selector.setAvailability(start, id("a1"), EndpointAvailability.Down)
        expectThat(selector.chain(query("q", keep = listOf(keep))).stages.map { it.endpoint }).contains(id("a2"))
    }
}
