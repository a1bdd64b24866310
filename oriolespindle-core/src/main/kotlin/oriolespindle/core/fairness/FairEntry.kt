package oriolespindle.core.fairness

import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * A request that waits to start.
 *
 * @property cost the prompt tokens and the maximum number of generated tokens.
 * @property startBy the latest time at which the request can start and still finish by its deadline.
 * @property queueLength the maximum number of waiting requests in the contract of the team.
 */
public data class FairEntry<T>(
    public val team: TeamId,
    public val cost: TokenCost,
    public val startBy: Timestamp,
    public val queueLength: Int,
    public val payload: T,
)

/** The result of [FairQueue.offer]. */
public sealed interface OfferResult {
    /** The request waits for its turn. */
    public data object Queued : OfferResult

    /** The request is refused and has not run; a retry before [retryAfter] is expected to be refused as well. */
    public data class Refused(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
    ) : OfferResult
}

/** The result of [FairQueue.poll]. */
public sealed interface PollResult<out T> {
    /** The request that starts now. */
    public data class Start<T>(
        public val entry: FairEntry<T>,
    ) : PollResult<T>

    /** No request is waiting. */
    public data object Empty : PollResult<Nothing>
}

/** A request that can no longer start in time and is refused without having run. */
public data class Expired<T>(
    public val entry: FairEntry<T>,
    public val retryAfter: Duration,
)
