package oriolespindle.core.limit

import oriolespindle.core.id.ZoneId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [ShareLedger].
 *
 * @property zone the availability zone of this instance.
 * @property pauseLimit a longer time without an event counts as a pause.
 * @property leaseTtl how long the answer of a peer to a probe allows units to be used; less than [pauseLimit].
 * @property settleDelay how long after the last report the successor waits: [pauseLimit] for an instance that was
 *   paused and does not know that it was removed, and 10 s until the units that it used are no longer counted.
 * @property fanOut the number of peers asked in one tick.
 * @property initialResendBackoff the time after which an unacknowledged message is sent again.
 * @property probeInterval the time between probes while one is needed.
 * @property proposeInterval the time between attempts to change the allotment, and between attempts by different
 *   instances.
 * @property idleReserve the part of an equal share that an idle instance keeps of each rate.
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
