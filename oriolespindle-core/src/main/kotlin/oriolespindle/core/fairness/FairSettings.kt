package oriolespindle.core.fairness

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [FairQueue].
 *
 * @property maximumEntries the bound on all waiting requests; half of it is reserved in equal parts for the teams, so
 *   that a few teams cannot fill it.
 * @property minimumTokens the least cost of a request; it makes calls without tokens count.
 * @property rateWindow the time over which the service rate is measured.
 * @property minimumSample the busy time before which a measured service rate is not used.
 * @property doubt how much longer than estimated a queued request may have to wait before it is refused early.
 */
public data class FairSettings(
    public val maximumEntries: Int = 100_000,
    public val minimumTokens: Int = 1,
    public val rateWindow: Duration = 1.seconds,
    public val minimumSample: Duration = 100.milliseconds,
    public val doubt: Double = 1.5,
)
