package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import java.util.random.RandomGenerator
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.DurationUnit

/**
 * Chooses the chain for each request of one model at one instance.
 *
 * A few chains are sampled by their planned rates and the one with the least expected completion time is taken.
 * Sampling keeps the instances from all choosing the chain that a report shows as idle, and keeps the work of each
 * chain near its part of the maximum flow. [random] must be seeded differently at each instance.
 */
public class ChainSelector(
    public val instance: InstanceId,
    private val settings: ChainSelectorSettings,
    private val random: RandomGenerator,
) {
    private val loads = HashMap<EndpointId, EndpointLoad>()
    private val links = LinkStates(settings)
    private val inFlight = HashMap<RequestId, InFlight>()
    private val priorities = BoundedMap<RequestId, Int>(REMEMBERED_CHOICES)
    private var topology: Topology? = null
    private var candidates = emptyList<Candidate>()
    private var sampler = WeightedSampler(DoubleArray(0))
    private var samplerStale = false
    private var sessionTime = settings.sessionTime

    /** Replaces the plan; work in flight and reports of endpoints that stay are kept. */
    public fun plan(
        now: Timestamp,
        plan: ChainPlan,
    ) {
        val specs = plan.topology.endpoints.associateBy { it.id }
        loads.keys.retainAll(specs.keys)
        for (spec in specs.values) loads.getOrPut(spec.id) { EndpointLoad(spec, settings) }.spec = spec
        links.plan(plan.topology)
        topology = plan.topology
        candidates = plan.chains.map { candidate(it.chain, it.rate) }
        samplerStale = true
    }

    /** Takes a load report; one that is older than the last of the same endpoint is ignored. */
    public fun report(
        now: Timestamp,
        report: LoadReport,
    ) {
        if (now - report.measuredAt > settings.reportHorizon) return
        loads[report.endpoint]?.report(report)
    }

    /** Takes an observation of a link's latency. */
    public fun link(
        now: Timestamp,
        observation: LinkObservation,
    ) {
        val from = loads[observation.from]?.spec ?: return
        val to = loads[observation.to]?.spec ?: return
        links.get(from, to).observe(now, observation.latency)
    }

    /** Sets whether [endpoint] may receive new work. */
    public fun availability(
        now: Timestamp,
        endpoint: EndpointId,
        state: EndpointAvailability,
    ) {
        val load = loads[endpoint] ?: return
        load.availability = state
        samplerStale = true
    }

    /** Chooses a chain for [query]; the choice counts as load only after [started]. */
    public fun choose(
        now: Timestamp,
        query: RouteQuery,
    ): ChainChoice {
        if (topology?.model?.id != query.model) return ChainChoice.Unavailable(RefusalReason.NO_CHAIN)
        val best =
            sampled(query).minByOrNull { cost(now, query, it) }
                ?: candidates.filter { it.isServing() && it.suits(query) }.minByOrNull { cost(now, query, it) }
                ?: return ChainChoice.Unavailable(RefusalReason.NO_CHAIN)
        priorities[query.request] = query.priority
        return chosen(now, query, best)
    }

    /** Counts [request] as load of [chain] until [finished]; a request that is started again moves to the new chain. */
    public fun started(
        now: Timestamp,
        request: RequestId,
        chain: Chain,
        tokens: Int,
    ) {
        finished(now, request)
        val priority = priorities.remove(request) ?: 0
        val stages = chain.stages.mapNotNull { loads[it.endpoint] }
        stages.forEach { it.started(now, priority) }
        inFlight[request] = InFlight(now, priority, stages)
    }

    /** Ends the load of [request]; an unknown one is ignored. */
    public fun finished(
        now: Timestamp,
        request: RequestId,
    ) {
        val ended = inFlight.remove(request) ?: return
        ended.stages.forEach { it.finished(now, ended.priority) }
        sessionTime += (now - ended.startedAt - sessionTime) * SESSION_SHARE
    }

    private fun sampled(query: RouteQuery): List<Candidate> {
        if (samplerStale) {
            sampler = WeightedSampler(DoubleArray(candidates.size) { candidates[it].weightedRate() })
            samplerStale = false
        }
        if (sampler.isEmpty) return emptyList()
        return List(settings.candidates) { candidates[sampler.sample(random)] }.filter { it.suits(query) }
    }

    private fun chosen(
        now: Timestamp,
        query: RouteQuery,
        best: Candidate,
    ): ChainChoice.Chosen {
        val token = best.secondsForToken(now, query)
        val wait = token * (1 + prefillTokens(query))
        return ChainChoice.Chosen(best.chain, seconds(wait), seconds(wait + token * query.maxTokens))
    }

    private fun cost(
        now: Timestamp,
        query: RouteQuery,
        candidate: Candidate,
    ): Double = candidate.secondsForToken(now, query) * (query.maxTokens + prefillTokens(query))

    private fun prefillTokens(query: RouteQuery): Double = query.promptTokens * settings.promptTokenCost

    private fun seconds(value: Double) = (value * NANOS_PER_SECOND).nanoseconds

    private fun candidate(
        chain: Chain,
        rate: Double,
    ): Candidate {
        val stages = chain.stages.map { loads.getValue(it.endpoint) }
        return Candidate(chain, rate, stages, stages.zipWithNext { a, b -> links.get(a.spec, b.spec) })
    }

    private inner class Candidate(
        val chain: Chain,
        val rate: Double,
        val stages: List<EndpointLoad>,
        val hops: List<LinkState>,
    ) {
        fun isServing(): Boolean = stages.all { it.weight > 0 }

        fun weightedRate(): Double = rate * stages.minOf { it.weight }

        fun suits(query: RouteQuery): Boolean =
            query.avoid.isEmpty() || chain.stages.none { it.endpoint in query.avoid }

        /** Sessions wait for each other at the slowest stage only, since the others outrun it. */
        fun secondsForToken(
            now: Timestamp,
            query: RouteQuery,
        ): Double {
            var slowest = 0.0
            for (stage in stages) {
                val share = (stage.sessions(now, query.priority, sessionTime) + 1) / stage.rate()
                if (share > slowest) slowest = share
            }
            var latency = 0.0
            for (hop in hops) latency += hop.latency(now).toDouble(DurationUnit.SECONDS)
            val crossZone = settings.crossZoneLatency.toDouble(DurationUnit.SECONDS)
            if (stages.first().spec.zone != query.zone) latency += crossZone
            if (stages.last().spec.zone != query.zone) latency += crossZone
            return slowest + latency
        }
    }

    private class InFlight(
        val startedAt: Timestamp,
        val priority: Int,
        val stages: List<EndpointLoad>,
    )

    private companion object {
        const val NANOS_PER_SECOND = 1e9

        /** The share of one finished session in the mean session time. */
        const val SESSION_SHARE = 0.05

        /** Choices that were never started are forgotten beyond this number. */
        const val REMEMBERED_CHOICES = 4096
    }
}
