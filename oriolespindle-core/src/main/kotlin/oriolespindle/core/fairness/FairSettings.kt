package oriolespindle.core.fairness

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [FairQueue].
 *
 * @property maxEntries the bound on all waiting requests; half of it is reserved in equal parts for the teams, so
 *   that a few teams cannot fill it.
 * @property minTokens the least cost of a request; it makes calls without tokens count.
 * @property rateWindow the time over which the service rate is measured.
 * @property minBusyTime the busy time before which a measured service rate is not used.
 * @property earlyRefusalFactor how much longer than estimated a queued request may have to wait before it
 *   is refused early.
 */
public data class FairSettings(
    public val maxEntries: Int = 100_000,
    public val minTokens: Int = 1,
    public val rateWindow: Duration = 1.seconds,
    public val minBusyTime: Duration = 100.milliseconds,
    public val earlyRefusalFactor: Double = 1.5,
)
