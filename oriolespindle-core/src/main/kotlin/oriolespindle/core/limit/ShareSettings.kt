package oriolespindle.core.limit

import oriolespindle.core.id.ZoneId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [ShareLedger].
 *
 * @property zone the availability zone of this instance.
 * @property pauseLimit the longest time without an event that does not count as a pause.
 * @property leaseTtl how long a peer's answer to a probe permits the use of units; must be less than [pauseLimit].
 * @property settleDelay how long the successor waits after the last report: [pauseLimit] for a paused instance that
 *   does not know that it was removed, and 10 s until the units that it used are no longer counted.
 * @property fanOut the number of peers asked for units in one tick.
 * @property initialResendBackoff the time before an unacknowledged message is first resent; it doubles with each
 *   resend.
 * @property probeInterval the time between probes while they are needed.
 * @property proposeInterval the time between proposals to change the allotment, and between the turns of different
 *   instances.
 * @property idleReserve the fraction of an equal share that an idle instance keeps of each rate.
 */
public data class ShareSettings(
    public val zone: ZoneId,
    public val pauseLimit: Duration = 3.seconds,
    public val leaseTtl: Duration = 2.seconds,
    public val settleDelay: Duration = 13.seconds,
    public val fanOut: Int = 3,
    public val initialResendBackoff: Duration = 200.milliseconds,
    public val probeInterval: Duration = 500.milliseconds,
    public val proposeInterval: Duration = 2.seconds,
    public val idleReserve: Double = 0.03,
)
