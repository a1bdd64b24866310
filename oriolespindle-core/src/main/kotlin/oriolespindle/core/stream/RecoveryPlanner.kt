package oriolespindle.core.stream

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.ChainChoice
import oriolespindle.core.chain.ChainSelector
import oriolespindle.core.chain.Stage
import oriolespindle.core.id.EndpointId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.outcome.UnknownReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of a [RecoveryPlanner]. */
public data class RecoverySettings(
    /** The cost of a token in a prefill relative to a generated token; low, since prefills run in large batches. */
    val prefillTokenCost: Double = 0.1,
    /** The size of one token's KV cache in one layer relative to one token's activations on a link. */
    val cacheSizePerLayer: Double = 0.25,
    /** The longest wait for the answer to a probe, which needs no computation at the endpoint. */
    val probeTimeout: Duration = 100.milliseconds,
    /** The estimated time to open a connection and send the request again. */
    val resendTime: Duration = 5.milliseconds,
    /** The most times that a request is resumed on an unchanged chain before other chains are preferred. */
    val maxSameChainAttempts: Int = 1,
    /** The delay after which a refused caller is told to retry. */
    val retryAfter: Duration = 1.seconds,
)

/**
 * Decides how a streamed request continues after a failure.
 *
 * A reset is repaired at once. Silence alone does not show which endpoint failed, so the endpoints are first probed on
 * new connections. If all answer and no link is degraded, only the connection is replaced and the chain is kept.
 * Otherwise a chain that keeps the healthy stages is compared with one that is chosen freely.
 */
public class RecoveryPlanner(
    private val settings: RecoverySettings,
) {
    /** Returns the repair with the shortest expected time to the end of the answer, or a probe if that comes first. */
    public fun repair(
        now: Timestamp,
        failure: StageFailure,
        selector: ChainSelector,
    ): Repair {
        if (failure.isSilence() && failure.probe == null) {
            return Repair.ProbeConnection(failure.chain.stages.map { it.endpoint }, settings.probeTimeout)
        }
        val cause = cause(now, failure, selector)
        val sameChain = if (cause.allowsSameChain) resumeSameChain(now, failure, selector, cause) else null
        if (sameChain != null && failure.sameChainAttempts < settings.maxSameChainAttempts) return sameChain
        return cheapestRepair(now, failure, selector, cause) ?: sameChain ?: giveUp(failure)
    }

    private fun cause(
        now: Timestamp,
        failure: StageFailure,
        selector: ChainSelector,
    ): Cause {
        val probe = failure.probe
        if (failure.isSilence() && probe != null) {
            if (probe.silent.isNotEmpty()) return Cause(RetryReason.TOKEN_GAP, probe.silent)
            val degraded = selector.degradedStage(now, failure.chain)
            if (degraded != null) return Cause(RetryReason.LINK_DEGRADED, setOf(degraded), isSourceAlive = true)
            return sameChainCause(failure, RetryReason.SILENT_CONNECTION)
        }
        val first =
            failure.chain.stages
                .first()
                .endpoint
        val blamed = setOfNotNull(failure.endpoint)
        return when (failure.reason) {
            RetryReason.TRUNCATED_ANSWER -> {
                sameChainCause(failure, failure.reason)
            }

            RetryReason.LINK_DEGRADED, RetryReason.ENDPOINT_LEAVING -> {
                Cause(failure.reason, blamed, isSourceAlive = true)
            }

            RetryReason.CONNECTION_RESET, RetryReason.CONNECT_FAILED, RetryReason.ENDPOINT_BUSY -> {
                Cause(failure.reason, blamed.ifEmpty { setOf(first) })
            }

            else -> {
                Cause(failure.reason, blamed)
            }
        }
    }

    // A fault that recurs on the same chain without a known faulty stage is most likely caused by a link whose state is
    // not reported. Other chains are then preferred, but the same chain is still better than none.
    private fun sameChainCause(
        failure: StageFailure,
        reason: RetryReason,
    ): Cause {
        val isRepeated = failure.sameChainAttempts >= settings.maxSameChainAttempts
        val suspects = if (isRepeated) failure.chain.stages.mapTo(HashSet()) { it.endpoint } else emptySet()
        return Cause(reason, suspects, allowsSameChain = true)
    }

    private fun resumeSameChain(
        now: Timestamp,
        failure: StageFailure,
        selector: ChainSelector,
        cause: Cause,
    ): Repair? {
        if (failure.chain.stages.any { !selector.isServing(it.endpoint) }) return null
        val tokenTime = selector.timeForToken(now, failure.query, failure.chain) ?: return null
        val cache = failure.chain.stages.map { StageCache.Reuse }
        return Repair.Resume(failure.chain, cache, settings.resendTime + tokenTime, cause.reason, failed = emptySet())
    }

    private fun cheapestRepair(
        now: Timestamp,
        failure: StageFailure,
        selector: ChainSelector,
        cause: Cause,
    ): Repair? {
        val healthy = failure.chain.stages.filter { it.endpoint !in cause.failed && selector.isServing(it.endpoint) }
        val query = failure.query.copy(avoid = failure.query.avoid + cause.failed, keep = emptyList())
        val choices = listOf(query.copy(keep = healthy), query).map { selector.choose(now, it) }
        val chains = choices.filterIsInstance<ChainChoice.Chosen>().map { it.chain }.distinct()
        val plans = chains.mapNotNull { plan(now, failure, selector, cause, it) }
        val best = plans.minByOrNull { it.totalTime } ?: return null
        if (failure.reason == RetryReason.LINK_DEGRADED) {
            val tokenTime = selector.timeForToken(now, failure.query, failure.chain)
            if (tokenTime != null && tokenTime * failure.remainingTokens() <= best.totalTime) return Repair.Continue
        }
        return best.repair
    }

    private fun plan(
        now: Timestamp,
        failure: StageFailure,
        selector: ChainSelector,
        cause: Cause,
        chain: Chain,
    ): RepairPlan? {
        val tokenTime = selector.timeForToken(now, failure.query, chain) ?: return null
        val estimate = CacheEstimate(settings, now, failure, selector)
        val options =
            listOf(true, false).map { mayImport -> chain.stages.map { cacheFor(failure, cause, it, mayImport) } }
        val (cache, restore) =
            options.distinct().map { it to estimate.restoreTime(chain, it) }.minBy { (_, time) -> time }
        val timeToNextToken = settings.resendTime + restore + tokenTime
        val resume = Repair.Resume(chain, cache, timeToNextToken, cause.reason, cause.failed)
        return RepairPlan(resume, totalTime = timeToNextToken + tokenTime * failure.remainingTokens())
    }

    private fun cacheFor(
        failure: StageFailure,
        cause: Cause,
        stage: Stage,
        mayImport: Boolean,
    ): StageCache {
        val holder = failure.chain.stages.find { stage.layers in it.layers }
        return when {
            holder == null -> StageCache.Recompute
            holder.endpoint == stage.endpoint && holder.endpoint !in cause.failed -> StageCache.Reuse
            mayImport && (holder.endpoint !in cause.failed || cause.isSourceAlive) -> StageCache.Import(holder.endpoint)
            else -> StageCache.Recompute
        }
    }

    private fun giveUp(failure: StageFailure): Repair {
        val message = "no chain can take over request ${failure.query.request} after ${failure.reason.code}"
        if (failure.mayHaveRun) return Repair.GiveUp(CallOutcome.Unknown(UnknownReason.STREAM_LOST, message))
        return Repair.GiveUp(CallOutcome.NotRun(RefusalReason.NO_CHAIN, message, settings.retryAfter))
    }

    private class Cause(
        val reason: RetryReason,
        val failed: Set<EndpointId>,
        val isSourceAlive: Boolean = false,
        val allowsSameChain: Boolean = false,
    )

    private class RepairPlan(
        val repair: Repair.Resume,
        val totalTime: Duration,
    )
}

private fun StageFailure.isSilence(): Boolean =
    reason == RetryReason.TOKEN_GAP || reason == RetryReason.SILENT_CONNECTION

private fun StageFailure.remainingTokens(): Int = (query.maxTokens - delivered).coerceAtLeast(1)
