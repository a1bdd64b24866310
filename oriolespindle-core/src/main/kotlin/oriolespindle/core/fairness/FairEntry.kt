package oriolespindle.core.fairness

import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * A request that waits to start.
 *
 * @property cost the prompt tokens and the most tokens that may be generated.
 * @property startBy when the request has to have started in order to finish by its deadline.
 * @property queueLength the queue length in the contract of the team.
 */
public data class FairEntry<T>(
    public val team: TeamId,
    public val cost: TokenCost,
    public val startBy: Timestamp,
    public val queueLength: Int,
    public val payload: T,
)

/** The answer of [FairQueue.offer]. */
public sealed interface OfferResult {
    /** The request waits for its turn. */
    public data object Queued : OfferResult

    /** The request is refused as not run; it would be in vain to repeat it before [retryAfter]. */
    public data class Refused(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
    ) : OfferResult
}

/** The answer of [FairQueue.poll]. */
public sealed interface PollResult<out T> {
    /** The request that starts now. */
    public data class Start<T>(
        public val entry: FairEntry<T>,
    ) : PollResult<T>

    /** Nothing waits. */
    public data object Empty : PollResult<Nothing>
}

/** A request that can no longer start in time and is refused as not run. */
public data class Expired<T>(
    public val entry: FairEntry<T>,
    public val retryAfter: Duration,
)
