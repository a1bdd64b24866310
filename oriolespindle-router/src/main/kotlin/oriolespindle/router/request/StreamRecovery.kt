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

/** A failed attempt as the session knows it; [cacheRefused] says that a stage does not hold the KV cache to reuse. */
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

/** What a session does after a failed attempt. */
internal sealed interface Recovery {
    data class Resume(
        val repair: Repair.Resume,
        val delay: Duration,
    ) : Recovery

    /** The attempt that was taken for failed goes on. */
    data object Continue : Recovery

    data class End(
        val outcome: CallOutcome,
    ) : Recovery
}

/** Chooses how one stream goes on, within the retry budgets and the deadline. */
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

    /** Passes what to do about [failed] to [result], at once or after endpoints were probed. */
    fun recover(
        failed: FailedAttempt,
        onDecision: (Recovery) -> Unit,
    ) {
        // A long stream may survive many failures; only attempts that deliver nothing count against their number.
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
                deadline = deadline,
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

    /** A resumed stream repeats the prefill of its prompt and of what was delivered, and generates only the rest. */
    private fun cost(failed: FailedAttempt): Double {
        if (failed.delivered == 0) return 1.0
        val prefill = PREFILL_COST_RATIO * (query.promptTokens + failed.delivered)
        val whole = PREFILL_COST_RATIO * query.promptTokens + query.maxTokens
        return (prefill / whole).coerceIn(0.0, 1.0)
    }

    /**
     * Before the first token an engine may not hold a session yet, and an engine whose earlier attempt still runs may
     * not offer its session, so nothing is reused.
     */
    private fun withoutCacheReuse(repair: Repair.Resume): Repair.Resume =
        repair.copy(cache = repair.chain.stages.map { StageCache.Recompute })

    private companion object {
        /** The work of a token in a prefill relative to a generated one. */
        const val PREFILL_COST_RATIO = 0.1
    }
}
