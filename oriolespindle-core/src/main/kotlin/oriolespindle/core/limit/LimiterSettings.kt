package oriolespindle.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [TeamLimiter].
 *
 * @property window the time over which the admitted amount is bounded strictly.
 * @property slice the resolution of the window; an amount stays counted for up to one slice more than the window.
 * @property tolerance how far the admitted amount of a window may be above the contract.
 * @property burst the time for which an idle team may save up its rate; above `window * tolerance` a burst would be
 *   followed by a gap at the end of the window.
 * @property demandWindow the time over which demand is measured.
 * @property transferRetryDelay the time after which a request that awaits units should be tried again.
 */
public data class LimiterSettings(
    public val window: Duration = 10.seconds,
    public val slice: Duration = 100.milliseconds,
    public val tolerance: Double = 0.02,
    public val burst: Duration = 200.milliseconds,
    public val demandWindow: Duration = 1.seconds,
    public val transferRetryDelay: Duration = 200.milliseconds,
)
