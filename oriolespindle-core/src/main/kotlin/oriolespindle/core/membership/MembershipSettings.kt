package oriolespindle.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals, timeouts and limits of the heartbeats between instances.
 *
 * With the defaults, an instance sends and receives 8 messages per second in total, regardless of the fleet size. With
 * 6 records of about 55 bytes in each, the control traffic stays below 4 KB/s even if every message is full.
 */
public data class MembershipSettings(
    /** The interval between the rounds in which an instance probes others. */
    public val probeInterval: Duration = 1.seconds,
    /** The number of instances of the own zone that are probed in each round. */
    public val ownZoneProbes: Int = 1,
    /** The number of instances of other zones that are probed in each round. */
    public val otherZoneProbes: Int = 1,
    /** A round trip between zones takes 1 ms; the rest allows for a garbage collection on either side. */
    public val ackTimeout: Duration = 800.milliseconds,
    /** Leaves time for a suspicion to reach the suspect and for its refutation to return in a few rounds of gossip. */
    public val suspicionTimeout: Duration = 5.seconds,
    /** The interval at which one dead instance is probed, so that the sides of a healed partition reconnect. */
    public val deadProbeInterval: Duration = 2.seconds,
    /** A timer that fires later than this indicates that the process was paused. */
    public val pauseThreshold: Duration = 3.seconds,
    /** The maximum number of records in a message that is not a full answer. */
    public val maxRecordsPerMessage: Int = 6,
    /** A record is sent this many times the binary logarithm of the fleet size. */
    public val retransmitMultiplier: Int = 3,
    /** The time for which dead and terminated instances are kept; longer than a partition between regions lasts. */
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
