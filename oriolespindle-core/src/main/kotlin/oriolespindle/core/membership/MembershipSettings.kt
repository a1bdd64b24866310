package oriolespindle.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The rates and limits of heartbeats between instances.
 *
 * With the defaults an instance takes part in 8 messages each second, whatever the size of the fleet. With 6 records
 * of about 55 bytes in each, the control traffic stays below 4 KB/s even while every message is full.
 */
public data class MembershipSettings(
    public val probeInterval: Duration = 1.seconds,
    public val ownZoneProbes: Int = 1,
    public val otherZoneProbes: Int = 1,
    /** A round trip between zones takes 1 ms; the rest allows for a garbage collection on either side. */
    public val ackTimeout: Duration = 800.milliseconds,
    /** Time for a suspicion to reach its subject and for the refutation to come back in a few rounds of gossip. */
    public val suspicionTimeout: Duration = 5.seconds,
    /** How often one dead instance is probed, so that the sides of a healed partition find each other. */
    public val deadProbeInterval: Duration = 2.seconds,
    /** A timer that is served later than this means that the process was paused. */
    public val pauseThreshold: Duration = 3.seconds,
    public val maxRecordsPerMessage: Int = 6,
    /** A record is sent this many times the binary logarithm of the fleet's size. */
    public val retransmitMultiplier: Int = 3,
    /** Longer than a partition between regions lasts. */
    public val deadRecordTtl: Duration = 24.hours,
) {
    init {
        require(probeInterval.isPositive()) { "heartbeat interval is $probeInterval, must be positive" }
        require(ackTimeout < probeInterval) {
            "ack timeout $ackTimeout must be shorter than the interval $probeInterval"
        }
        require(maxRecordsPerMessage > 0) { "records per message is $maxRecordsPerMessage, must be positive" }
    }
}
