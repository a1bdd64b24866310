package oriolespindle.core.retry

import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.outcome.UnknownReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * Decides whether a failed attempt is retried or the caller receives the final answer.
 *
 * A request is retried only if it cannot have run or is idempotent, if another attempt can finish by the deadline, and
 * if the budgets of its team and its service both allow it. The final answer is "not run" only if no attempt can have
 * run, and "unknown" otherwise. No other layer retries.
 *
 * ```
 * policy.onRequestAdmitted(now, team, service)
 * when (val decision = policy.decide(now, failure)) {
 *     is RetryDecision.Retry -> timers.after(decision.delay) { startAttempt() }
 *     is RetryDecision.Answer -> answerCaller(decision.outcome)
 * }
 * ```
 *
 * [teamRatio] returns the retry ratio of a team's contract, which can only lower the ratio of [settings].
 *
 * [jitter] returns a number from 0 up to 1 and spreads delays, so that callers do not retry at the same time.
 */
public class RetryPolicy(
    private val settings: RetrySettings = RetrySettings(),
    private val jitter: () -> Double = { 0.5 },
    private val teamRatio: (TeamId) -> Double = { settings.ratio },
) {
    private val teams = HashMap<TeamId, RetryBudget>()
    private val services = HashMap<ServiceId, RetryBudget>()

    /** Counts an admitted request, which adds to both budgets; must not be called for a retry. */
    public fun onRequestAdmitted(
        now: Timestamp,
        team: TeamId,
        service: ServiceId,
    ) {
        budget(team).onRequestAdmitted(now)
        budget(service).onRequestAdmitted(now)
    }

    /** Returns the action to take after [failure]; [RetryDecision.Retry] takes a retry from both budgets. */
    public fun decide(
        now: Timestamp,
        failure: AttemptFailure,
    ): RetryDecision {
        if (failure.mayHaveRun && !failure.isIdempotent) return answer(failure, RefusalReason.NO_ENDPOINT)
        val delay = backoff(failure)
        val team = budget(failure.team)
        val service = budget(failure.service)
        return when {
            failure.attempt.value >= settings.maxAttempts -> {
                answer(failure, if (failure.saidNotRun) RefusalReason.ENDPOINT_REFUSED else RefusalReason.NO_ENDPOINT)
            }

            now + delay + failure.expectedDuration > failure.deadline -> {
                answer(failure, RefusalReason.DEADLINE_UNREACHABLE)
            }

            !team.canSpend(now, failure.cost) || !service.canSpend(now, failure.cost) -> {
                answer(failure, RefusalReason.RETRY_BUDGET_EXHAUSTED)
            }

            else -> {
                team.spend(now, failure.cost)
                service.spend(now, failure.cost)
                RetryDecision.Retry(failure.reason, delay)
            }
        }
    }

    private fun backoff(failure: AttemptFailure): Duration {
        val earlierRetries = failure.attempt.value - 1
        if (earlierRetries == 0) return Duration.ZERO
        val maxBackoff = settings.initialBackoff * (1 shl minOf(earlierRetries - 1, MAX_DOUBLINGS))
        return maxBackoff * (0.5 + jitter() / 2)
    }

    private fun answer(
        failure: AttemptFailure,
        reason: RefusalReason,
    ): RetryDecision =
        RetryDecision.Answer(
            if (failure.mayHaveRun) {
                CallOutcome.Unknown(unknownReason(failure.reason), "an attempt failed with ${failure.reason.code}")
            } else {
                CallOutcome.NotRun(reason, "gave up after ${failure.reason.code}", retryAfter(failure))
            },
        )

    private fun retryAfter(failure: AttemptFailure): Duration {
        val minWait = settings.minRetryAfter * (1 + jitter())
        return maxOf(minWait, failure.endpointRetryAfter ?: Duration.ZERO)
    }

    private fun unknownReason(reason: RetryReason): UnknownReason =
        when (reason) {
            RetryReason.TRUNCATED_ANSWER -> UnknownReason.TRUNCATED_ANSWER
            RetryReason.STAGE_LOST, RetryReason.TOKEN_GAP, RetryReason.LINK_DEGRADED -> UnknownReason.STREAM_LOST
            else -> UnknownReason.ENDPOINT_LOST
        }

    private fun budget(team: TeamId) =
        teams.getOrPut(team) {
            RetryBudget(settings) { minOf(settings.ratio, teamRatio(team)) }
        }

    private fun budget(service: ServiceId) = services.getOrPut(service) { RetryBudget(settings) }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
