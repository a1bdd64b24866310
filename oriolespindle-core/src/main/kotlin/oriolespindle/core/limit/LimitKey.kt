package oriolespindle.core.limit

import kotlinx.serialization.Serializable
import oriolespindle.core.id.TeamId

/** The limits of a contract whose units move between instances. */
@Serializable
public enum class LimitKind {
    REQUESTS,
    TOKENS,
    CONCURRENCY,
}

/** One limit of one team, divided into [TOTAL_UNITS] units over all instances. */
@Serializable
public data class LimitKey(
    public val team: TeamId,
    public val kind: LimitKind,
) {
    public companion object {
        /** The number of units of each limit, summed over all instances. */
        public const val TOTAL_UNITS: Int = 1_000_000
    }
}
