package oriolespindle.router.request

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.ChainPlan
import oriolespindle.core.chain.ChainPlanner
import oriolespindle.core.chain.ChainSelector
import oriolespindle.core.chain.ChainSelectorSettings
import oriolespindle.core.chain.Topology
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ModelId
import oriolespindle.core.stream.ChainGaps
import oriolespindle.core.stream.GapDetector
import oriolespindle.core.stream.GapSettings
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import java.util.concurrent.Executor
import java.util.random.RandomGenerator

/**
 * Holds the chain plan and the chain selector of each model.
 *
 * Plans are computed on [planning], off the request path, and applied through [post] on the request component's thread.
 * A plan is discarded if a newer topology has arrived in the meantime.
 */
internal class ModelRoutes(
    private val instance: InstanceId,
    private val random: RandomGenerator,
    private val planning: Executor,
    private val post: (() -> Unit) -> Unit,
    private val onPlanned: () -> Unit,
) {
    private val selectors = HashMap<ModelId, ChainSelector>()
    private val generations = HashMap<ModelId, Int>()
    private val gapSettings = GapSettings()
    private val chainGaps =
        object : LinkedHashMap<Chain, ChainGaps>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Chain, ChainGaps>): Boolean = size > MAX_MEASURED_CHAINS
        }
    private val plans = HashMap<ModelId, ChainPlan>()

    /** The number of plan computations in progress. */
    var pendingPlans: Int = 0
        private set

    fun selector(model: ModelId): ChainSelector? = selectors[model]

    /** Returns a new detector whose limits follow the token gaps of all streams on [chain]. */
    fun gapDetector(chain: Chain): GapDetector {
        val measured = chainGaps.getOrPut(chain) { ChainGaps(gapSettings) }
        return GapDetector(gapSettings, measured)
    }

    fun plan(model: ModelId): ChainPlan? = plans[model]

    fun all(): Collection<ChainSelector> = selectors.values

    fun replan(
        now: () -> Timestamp,
        topology: Topology,
    ) {
        val model = topology.model.id
        val generation = (generations[model] ?: 0) + 1
        generations[model] = generation
        pendingPlans++
        planning.execute {
            val plan = planOrNull(topology)
            post { onPlanComputed(now(), model, generation, plan) }
        }
    }

    /** Returns null if the planner rejects the topology's rates, so that the last valid plan stays in use. */
    private fun planOrNull(topology: Topology): ChainPlan? =
        try {
            ChainPlanner().plan(topology)
        } catch (e: IllegalArgumentException) {
            EventLog.warn("model cannot be planned", "model" to topology.model.id, "cause" to e.message)
            null
        }

    fun remove(model: ModelId) {
        generations[model] = (generations[model] ?: 0) + 1
        selectors.remove(model)
        plans.remove(model)
    }

    private fun onPlanComputed(
        now: Timestamp,
        model: ModelId,
        generation: Int,
        plan: ChainPlan?,
    ) {
        pendingPlans--
        if (plan != null && generations[model] == generation) usePlan(now, model, plan)
        onPlanned()
    }

    private fun usePlan(
        now: Timestamp,
        model: ModelId,
        plan: ChainPlan,
    ) {
        val selector = selectors.getOrPut(model) { ChainSelector(instance, ChainSelectorSettings(), random) }
        selector.setPlan(now, plan)
        plans[model] = plan
        EventLog.info("model planned", "model" to model, "chains" to plan.chains.size, "bound" to plan.bound)
    }

    private companion object {
        /** Bounds the memory for token gaps; a chain that was evicted starts from the prior again. */
        const val MAX_MEASURED_CHAINS = 512
    }
}
