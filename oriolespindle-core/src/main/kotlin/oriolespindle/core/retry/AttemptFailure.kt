package oriolespindle.core.retry

import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * Why one attempt of a request did not bring a whole answer.
 *
 * [reachedEndpoint] is true as soon as one byte may have reached an endpoint that could run the request, also when the
 * write failed. [saidNotRun] is true when the endpoint said in a complete answer that the attempt did not run.
 * [earlierMayHaveRun] is [mayHaveRun] of the attempt before this one, so that a request is not reported as not run
 * because only its last attempt did not. [expectedDuration] is how long another attempt is expected to take from its
 * start to its last byte. [endpointRetryAfter] is the time after which the endpoint itself wants to be called again. A
 * model is budgeted under its name as a [service].
 * [cost] is the work that the other attempt adds, as a part of the work of a
 * whole request: a stream that is resumed repeats only the prefill of what was delivered.
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

/** What follows a failed attempt. */
public sealed interface RetryDecision {
    /** Another attempt is started after waiting for [delay]; [reason] is counted. */
    public data class Retry(
        public val reason: RetryReason,
        public val delay: Duration,
    ) : RetryDecision

    /** The caller receives [outcome] now. */
    public data class Answer(
        public val outcome: CallOutcome,
    ) : RetryDecision
}
