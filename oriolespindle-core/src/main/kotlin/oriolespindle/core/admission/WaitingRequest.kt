package oriolespindle.core.admission

import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import kotlin.time.Duration

/** A request for the [WaitingRoom]; [payload] identifies it and must not be waiting already. */
public data class WaitingRequest<T>(
    public val team: TeamId,
    public val priority: Priority,
    /** The prompt tokens and the expected tokens of the answer. */
    public val cost: TokenCost,
    public val limits: WaitLimits,
    public val payload: T,
)

/** A request that leaves the [WaitingRoom] unserved; a slot is expected for it after [retryAfter]. */
public data class Unserved<T>(
    public val payload: T,
    public val retryAfter: Duration,
)

/** The result of [WaitingRoom.offer]. */
public sealed interface WaitResult<out T> {
    /** The request waits; [displaced] had to leave for it and is refused. */
    public data class Waits<T>(
        public val displaced: Unserved<T>?,
    ) : WaitResult<T>

    /** The request is refused and has not run; a slot is expected for it after [retryAfter]. */
    public data class Refused(
        public val retryAfter: Duration,
    ) : WaitResult<Nothing>
}
