package oriolespindle.core.retry

import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * An attempt of a request that did not bring a complete answer.
 *
 * [reachedEndpoint] is true as soon as one byte may have reached an endpoint that could run the request, even if the
 * write failed. [saidNotRun] is true if the endpoint reported in a complete answer that the attempt did not run.
 * [earlierMayHaveRun] is [mayHaveRun] of the previous attempt, so that a request is not reported as not run because
 * only its last attempt did not run. [expectedDuration] is the expected time of another attempt from its start to its
 * last byte. [endpointRetryAfter] is the delay that the endpoint itself asks for before a retry. The budget of a model
 * is kept under its name as a [service]. [cost] is the work that another attempt adds, as a fraction of the work of a
 * complete request: a resumed stream repeats only the prefill of what was delivered.
 *
 * @throws IllegalArgumentException if [cost] is not between 0 and 1.
 */
public data class AttemptFailure(
    public val team: TeamId,
    public val service: ServiceId,
    public val attempt: AttemptNumber,
    public val reason: RetryReason,
    public val isIdempotent: Boolean,
    public val reachedEndpoint: Boolean,
    public val saidNotRun: Boolean,
    public val earlierMayHaveRun: Boolean,
    public val deadline: Timestamp,
    public val expectedDuration: Duration,
    public val endpointRetryAfter: Duration? = null,
    public val cost: Double = 1.0,
) {
    init {
        require(cost in 0.0..1.0) { "cost is $cost, must be from 0 to 1" }
    }

    /** Whether this attempt or an earlier one may have run. */
    public val mayHaveRun: Boolean get() = earlierMayHaveRun || (reachedEndpoint && !saidNotRun)
}

/** The action to take after a failed attempt. */
public sealed interface RetryDecision {
    /** Start another attempt after [delay]; [reason] is counted in the metrics. */
    public data class Retry(
        public val reason: RetryReason,
        public val delay: Duration,
    ) : RetryDecision

    /** Answer the caller with [outcome]. */
    public data class Answer(
        public val outcome: CallOutcome,
    ) : RetryDecision
}
