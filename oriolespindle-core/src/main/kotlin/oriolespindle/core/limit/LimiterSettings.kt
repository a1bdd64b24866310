package oriolespindle.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [TeamLimiter].
 *
 * @property window the period in which the admitted amount is strictly bounded.
 * @property slice the resolution of the window; an amount is counted for up to one slice longer than the window.
 * @property tolerance the fraction by which the amount admitted in a window may exceed the contract.
 * @property burst the period for which an idle team may accumulate its rate; above `window * tolerance` a burst would
 *   be followed by a gap at the end of the window.
 * @property demandWindow the period over which demand is measured.
 * @property transferRetryDelay the delay after which a request that awaits units should be retried.
 */
public data class LimiterSettings(
    public val window: Duration = 10.seconds,
    public val slice: Duration = 100.milliseconds,
    public val tolerance: Double = 0.02,
    public val burst: Duration = 200.milliseconds,
    public val demandWindow: Duration = 1.seconds,
    public val transferRetryDelay: Duration = 200.milliseconds,
)
