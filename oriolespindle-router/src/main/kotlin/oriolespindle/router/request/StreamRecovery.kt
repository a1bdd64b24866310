package oriolespindle.router.request

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.RouteQuery
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.outcome.UnknownReason
import oriolespindle.core.retry.AttemptFailure
import oriolespindle.core.retry.RetryDecision
import oriolespindle.core.retry.RetryPolicy
import oriolespindle.core.stream.ProbeResult
import oriolespindle.core.stream.RecoveryPlanner
import oriolespindle.core.stream.RecoverySettings
import oriolespindle.core.stream.Repair
import oriolespindle.core.stream.StageCache
import oriolespindle.core.stream.StageFailure
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** A failed attempt of a session; [cacheRefused] means that a stage does not have the KV cache to reuse. */
internal class FailedAttempt(
    val number: AttemptNumber,
    val chain: Chain,
    val reason: RetryReason,
    val endpoint: EndpointId?,
    val delivered: Int,
    val reached: Boolean,
    val saidNotRun: Boolean,
    val cacheRefused: Boolean = false,
)

/** The next step of a session after a failed attempt. */
internal sealed interface Recovery {
    data class Resume(
        val repair: Repair.Resume,
        val delay: Duration,
    ) : Recovery

    /** The attempt is still running and continues. */
    data object Continue : Recovery

    data class End(
        val outcome: CallOutcome,
    ) : Recovery
}

/** Decides how one stream continues after failures, within the retry budgets and the deadline. */
internal class StreamRecovery(
    private val context: RequestContext,
    private val routes: ModelRoutes,
    private val retries: RetryPolicy,
    private val probe: EndpointProbe,
    private val team: TeamId,
    private val query: RouteQuery,
    private val deadline: Timestamp,
) {
    private val planner = RecoveryPlanner(RecoverySettings())
    private val budgetKey = ServiceId(query.model.value)
    private val avoidedEndpoints = HashSet<EndpointId>()
    private var sameChainAttempts = 0
    private var mayHaveRun = false
    private var attemptsWithoutProgress = 0
    private var lastDelivered = 0
    private var cacheRefused = false

    fun onAdmitted() {
        retries.onRequestAdmitted(context.now(), team, budgetKey)
    }

    /** Decides how to recover from [failed]; calls [onDecision] at once or after probing endpoints. */
    fun recover(
        failed: FailedAttempt,
        onDecision: (Recovery) -> Unit,
    ) {
        // A long stream may survive many failures; only attempts without progress count towards the maximum.
        if (failed.delivered > lastDelivered) attemptsWithoutProgress = 0
        lastDelivered = failed.delivered
        attemptsWithoutProgress++
        plan(failed, null, onDecision)
    }

    private fun plan(
        failed: FailedAttempt,
        probed: ProbeResult?,
        onDecision: (Recovery) -> Unit,
    ) {
        val selector = routes.selector(query.model)
        if (selector == null) {
            onDecision(
                Recovery.End(CallOutcome.Unknown(UnknownReason.STREAM_LOST, "the model has left the configuration")),
            )
            return
        }
        val reached = mayHaveRun || (failed.reached && !failed.saidNotRun)
        val failure =
            StageFailure(
                reason = failed.reason,
                endpoint = failed.endpoint,
                chain = failed.chain,
                query = query.copy(avoid = avoidedEndpoints.toSet()),
                delivered = failed.delivered,
                probe = probed,
                sameChainAttempts = sameChainAttempts,
                mayHaveRun = reached,
            )
        when (val repair = planner.repair(context.now(), failure, selector)) {
            is Repair.ProbeConnection -> probe.run(repair.endpoints, repair.timeout) { plan(failed, it, onDecision) }
            is Repair.Continue -> onDecision(Recovery.Continue)
            is Repair.GiveUp -> onDecision(Recovery.End(repair.outcome))
            is Repair.Resume -> onDecision(resume(failed, repair))
        }
    }

    private fun resume(
        failed: FailedAttempt,
        repair: Repair.Resume,
    ): Recovery {
        val failure =
            AttemptFailure(
                team = team,
                service = budgetKey,
                attempt = AttemptNumber(attemptsWithoutProgress),
                reason = repair.reason,
                isIdempotent = true,
                reachedEndpoint = failed.reached,
                saidNotRun = failed.saidNotRun,
                earlierMayHaveRun = mayHaveRun,
                deadline = context.latestEnd(deadline),
                expectedDuration = repair.estimatedCost,
                cost = cost(failed),
            )
        mayHaveRun = failure.mayHaveRun
        return when (val decision = retries.decide(context.now(), failure)) {
            is RetryDecision.Answer -> {
                Recovery.End(decision.outcome)
            }

            is RetryDecision.Retry -> {
                avoidedEndpoints += repair.failed
                sameChainAttempts = if (repair.chain == failed.chain) sameChainAttempts + 1 else 0
                context.metrics.retried(repair.reason)
                cacheRefused = cacheRefused || failed.cacheRefused
                val recompute = cacheRefused || failed.delivered == 0
                Recovery.Resume(if (recompute) withoutCacheReuse(repair) else repair, decision.delay)
            }
        }
    }

    /**
     * Returns the cost of a retry relative to the whole request, from 0 to 1.
     *
     * A resumed stream repeats the prefill of its prompt and of the delivered tokens, and generates only the rest.
     */
    private fun cost(failed: FailedAttempt): Double {
        if (failed.delivered == 0) return 1.0
        val prefill = PREFILL_COST_RATIO * (query.promptTokens + failed.delivered)
        val whole = PREFILL_COST_RATIO * query.promptTokens + query.maxTokens
        return (prefill / whole).coerceIn(0.0, 1.0)
    }

    /**
     * Returns [repair] with every KV cache recomputed.
     *
     * An engine may have no session yet before the first token, and may not offer one while its earlier attempt runs.
     */
    private fun withoutCacheReuse(repair: Repair.Resume): Repair.Resume =
        repair.copy(cache = repair.chain.stages.map { StageCache.Recompute })

    private companion object {
        /** The cost of a prefill token relative to a generated one. */
        const val PREFILL_COST_RATIO = 0.1
    }
}
