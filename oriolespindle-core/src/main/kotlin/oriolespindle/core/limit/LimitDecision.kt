package oriolespindle.core.limit

import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** The decision whether a request may start under its team's contract. */
public sealed interface LimitDecision {
    /** The request may start; [permit] must be settled exactly once. */
    public data class Admitted(
        public val permit: Permit,
    ) : LimitDecision

    /**
     * The request must not start.
     *
     * [retryAfter] is null if a retry cannot succeed. [awaitingUnits] is true if this instance lacks units that it is
     * requesting from its peers. They usually arrive within two message delays, and the caller's request may be held
     * for that long.
     */
    public data class Refused(
        public val reason: RefusalReason,
        public val retryAfter: Duration?,
        public val awaitingUnits: Boolean = false,
    ) : LimitDecision
}

/** The right of one admitted request to run, with the cost that was charged for it. */
public class Permit internal constructor(
    public val team: TeamId,
    public val cost: TokenCost,
    public val admittedAt: Timestamp,
) {
    internal var isSettled: Boolean = false
}
