package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import java.util.random.RandomGenerator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.DurationUnit

/**
 * Selects the chain for each request of one model at one instance.
 *
 * A few chains are sampled in proportion to their planned rates, and the one with the shortest expected completion time
 * is selected. Sampling prevents all instances from selecting the same chain when a load report shows it as idle, and
 * keeps the load of each chain near its part of the maximum flow. [random] must be seeded differently at each instance.
 */
public class ChainSelector(
    public val instance: InstanceId,
    private val settings: ChainSelectorSettings,
    private val random: RandomGenerator,
) {
    private val loads = HashMap<EndpointId, EndpointLoad>()
    private val links = LinkStates(settings)
    private val availabilities = BoundedMap<EndpointId, EndpointAvailability>(MAX_AVAILABILITIES)
    private val inFlight = HashMap<RequestId, InFlight>()
    private val priorities = BoundedMap<RequestId, Int>(MAX_PENDING_CHOICES)
    private var topology: Topology? = null
    private var candidates = emptyList<ChainCandidate>()
    private var sampler = WeightedSampler(DoubleArray(0))
    private var isSamplerStale = false
    private var sessionTime = settings.initialSessionTime
    private var meanLoad = 0.0
    private var meanLoadUpdatedAt: Timestamp? = null

    /** Replaces the plan. Requests in flight and load reports of endpoints that remain are kept. */
    public fun setPlan(
        now: Timestamp,
        plan: ChainPlan,
    ) {
        val specs = plan.topology.endpoints.associateBy { it.id }
        loads.keys.retainAll(specs.keys)
        for (spec in specs.values) {
            val load = loads.getOrPut(spec.id) { EndpointLoad(spec, settings) }
            load.spec = spec
            availabilities[spec.id]?.let { load.availability = it }
        }
        links.setTopology(plan.topology)
        topology = plan.topology
        candidates = plan.chains.map { toCandidate(it.chain, it.rate) }
        isSamplerStale = true
    }

    /**
     * Records a load report.
     *
     * A report is ignored if it is older than [ChainSelectorSettings.maxReportAge] or not newer than the last report of
     * the same endpoint.
     */
    public fun onLoadReport(
        now: Timestamp,
        report: LoadReport,
    ) {
        if (now - report.measuredAt > settings.maxReportAge) return
        loads[report.endpoint]?.onReport(report)
    }

    /** Records an observed link latency; a link from or to an unknown endpoint is ignored. */
    public fun onLinkObservation(
        now: Timestamp,
        observation: LinkObservation,
    ) {
        val from = loads[observation.from]?.spec ?: return
        val to = loads[observation.to]?.spec ?: return
        links.get(from, to).observe(now, observation.latency)
    }

    /** Sets whether [endpoint] may receive new work; the state also applies if a later plan adds the endpoint. */
    public fun setAvailability(
        now: Timestamp,
        endpoint: EndpointId,
        state: EndpointAvailability,
    ) {
        availabilities[endpoint] = state
        loads[endpoint]?.availability = state
        isSamplerStale = true
    }

    /**
     * Selects a chain for [query]; the request counts as load only after [onStarted].
     *
     * Returns [ChainChoice.Unavailable] with [RefusalReason.NO_CHAIN] if there is no plan for the model, or if some
     * layer has no available endpoint.
     */
    public fun choose(
        now: Timestamp,
        query: RouteQuery,
    ): ChainChoice {
        if (topology?.model?.id != query.model) return ChainChoice.Unavailable(RefusalReason.NO_CHAIN)
        val best =
            (if (query.keep.isEmpty()) null else findChain(now, query, query.keep))
                ?: bestPlanned(now, query)
                ?: findChain(now, query, emptyList())
                ?: findChain(now, query, emptyList(), includeSuspects = true)
                ?: return ChainChoice.Unavailable(RefusalReason.NO_CHAIN)
        priorities[query.request] = query.priority
        return toChoice(now, query, best)
    }

    /**
     * Counts [request] as load of [chain] until [onFinished].
     *
     * A request that is started again moves to the new chain.
     */
    public fun onStarted(
        now: Timestamp,
        request: RequestId,
        chain: Chain,
        tokens: Int,
    ) {
        onFinished(now, request)
        val priority = priorities.remove(request) ?: 0
        val stages = chain.stages.mapNotNull { loads[it.endpoint] }
        stages.forEach { it.onStarted(now, priority) }
        inFlight[request] = InFlight(now, priority, stages)
    }

    /** Stops counting [request] as load; an unknown request is ignored. */
    public fun onFinished(
        now: Timestamp,
        request: RequestId,
    ) {
        val ended = inFlight.remove(request) ?: return
        ended.stages.forEach { it.onFinished(now, ended.priority) }
        sessionTime += (now - ended.startedAt - sessionTime) * SESSION_TIME_SMOOTHING
    }

    /** Returns the expected time for one token on [chain], or null if one of its endpoints is unknown. */
    internal fun timeForToken(
        now: Timestamp,
        query: RouteQuery,
        chain: Chain,
    ): Duration? {
        if (chain.stages.any { it.endpoint !in loads }) return null
        return toDuration(secondsForToken(now, query, toCandidate(chain, rate = 0.0)))
    }

    /** Returns the expected time for one token at one [endpoint], infinite if it is unknown. */
    internal fun stageTime(
        now: Timestamp,
        query: RouteQuery,
        endpoint: EndpointId,
    ): Duration = loads[endpoint]?.let { toDuration(stageSeconds(now, query, it)) } ?: Duration.INFINITE

    /** Returns the endpoint of the first stage that is reached over a degraded link, or null if there is none. */
    internal fun degradedStage(
        now: Timestamp,
        chain: Chain,
    ): EndpointId? {
        if (chain.stages.any { it.endpoint !in loads }) return null
        val hops = chain.stages.zipWithNext()
        return hops.find { (from, to) -> linkState(from.endpoint, to.endpoint).isDegraded(now) }?.second?.endpoint
    }

    /** Returns the planned rate of the link between two endpoints, or null if one is unknown. */
    internal fun linkRate(
        from: EndpointId,
        to: EndpointId,
    ): LinkRate? = if (from in loads && to in loads) linkState(from, to).rate else null

    /** Returns whether [endpoint] is known and may receive new work. */
    internal fun isServing(endpoint: EndpointId): Boolean = (loads[endpoint]?.weight ?: 0.0) > 0

    private fun bestPlanned(
        now: Timestamp,
        query: RouteQuery,
    ): ChainCandidate? {
        val sampled = sampleCandidates(query)
        val usable = sampled.ifEmpty { candidates.filter { it.isServing() && it.mayServe(query) } }
        val best = usable.minByOrNull { cost(now, query, it, cachedShare = 0.0) } ?: return null
        val preferred = preferredCandidate(now, query) ?: return best
        val preferredCost = cost(now, query, preferred, settings.cachedShare)
        return if (preferredCost <= cost(now, query, best, cachedShare = 0.0)) preferred else best
    }

    private fun sampleCandidates(query: RouteQuery): List<ChainCandidate> {
        if (isSamplerStale) {
            sampler = WeightedSampler(DoubleArray(candidates.size) { candidates[it].weightedRate() })
            isSamplerStale = false
        }
        if (sampler.isEmpty) return emptyList()
        return List(settings.candidates) { candidates[sampler.sample(random)] }.filter { it.mayServe(query) }
    }

    /**
     * Returns the chain that all instances prefer for the prefix, or null if its load exceeds the bound.
     *
     * This is consistent hashing with bounded loads: the bound is [ChainSelectorSettings.affinityLoadFactor] times the
     * mean load, plus one session.
     */
    private fun preferredCandidate(
        now: Timestamp,
        query: RouteQuery,
    ): ChainCandidate? {
        if (query.prefix == PrefixHash.NONE) return null
        val preferred = candidates.maxByOrNull { it.affinity(query.prefix) } ?: return null
        if (!preferred.isServing() || !preferred.mayServe(query)) return null
        val bound = settings.affinityLoadFactor * meanLoad(now) + preferred.singleSessionLoad()
        return preferred.takeIf { it.load(now, sessionTime) <= bound }
    }

    private fun meanLoad(now: Timestamp): Double {
        val at = meanLoadUpdatedAt
        if (at == null || now - at > MEAN_LOAD_TTL) {
            var load = 0.0
            var rate = 0.0
            for (candidate in candidates) {
                load += candidate.load(now, sessionTime) * candidate.weightedRate()
                rate += candidate.weightedRate()
            }
            meanLoad = if (rate > 0) load / rate else 0.0
            meanLoadUpdatedAt = now
        }
        return meanLoad
    }

    private fun findChain(
        now: Timestamp,
        query: RouteQuery,
        keep: List<Stage>,
        includeSuspects: Boolean = false,
    ): ChainCandidate? {
        val kept = keep.filter { isServing(it.endpoint) && it.endpoint !in query.avoid }
        val usable =
            loads.values.filter {
                it.spec.id !in query.avoid && (it.weight > 0 || (includeSuspects && it.isSuspect))
            }
        val finder =
            ChainFinder(
                model = checkNotNull(topology).model,
                endpoints = usable.map { it.spec },
                stageCost = { spec -> stageSeconds(now, query, loads.getValue(spec.id)) },
                hopCost = { from, to ->
                    val link = links.get(from, to)
                    link.latency(now).toDouble(DurationUnit.SECONDS) + 1 / link.rate.tokensPerSecond
                },
            )
        return finder.find(kept)?.let { toCandidate(it, rate = 0.0) }
    }

    private fun toChoice(
        now: Timestamp,
        query: RouteQuery,
        best: ChainCandidate,
    ): ChainChoice.Chosen {
        val token = secondsForToken(now, query, best)
        val wait = token * (1 + prefillTokens(query))
        return ChainChoice.Chosen(best.chain, toDuration(wait), toDuration(wait + token * query.maxTokens))
    }

    private fun cost(
        now: Timestamp,
        query: RouteQuery,
        candidate: ChainCandidate,
        cachedShare: Double,
    ): Double = secondsForToken(now, query, candidate) * (query.maxTokens + prefillTokens(query) * (1 - cachedShare))

    private fun secondsForToken(
        now: Timestamp,
        query: RouteQuery,
        candidate: ChainCandidate,
    ): Double = candidate.secondsForToken(now, query, sessionTime, settings.crossZoneLatency)

    private fun stageSeconds(
        now: Timestamp,
        query: RouteQuery,
        load: EndpointLoad,
    ): Double = (load.sessions(now, query.priority, sessionTime) + 1) / load.rate()

    private fun linkState(
        from: EndpointId,
        to: EndpointId,
    ): LinkState = links.get(loads.getValue(from).spec, loads.getValue(to).spec)

    private fun prefillTokens(query: RouteQuery): Double = query.promptTokens * settings.promptTokenCost

    private fun toDuration(value: Double): Duration = (value * NANOS_PER_SECOND).nanoseconds

    private fun toCandidate(
        chain: Chain,
        rate: Double,
    ): ChainCandidate {
        val stages = chain.stages.map { loads.getValue(it.endpoint) }
        return ChainCandidate(chain, rate, stages, stages.zipWithNext { a, b -> links.get(a.spec, b.spec) })
    }

    private class InFlight(
        val startedAt: Timestamp,
        val priority: Int,
        val stages: List<EndpointLoad>,
    )

    private companion object {
        const val NANOS_PER_SECOND = 1e9

        /** The mean load of all chains changes slowly, so it is cached instead of being computed for each choice. */
        val MEAN_LOAD_TTL = 10.milliseconds

        /** The smoothing factor of the moving average of session times. */
        const val SESSION_TIME_SMOOTHING = 0.05

        /** Bounds the choices that have not been started; beyond this number the oldest one is dropped. */
        const val MAX_PENDING_CHOICES = 4096

        /** Bounds the remembered availabilities; more than twice the 1,500 servers of the target size. */
        const val MAX_AVAILABILITIES = 4096
    }
}
