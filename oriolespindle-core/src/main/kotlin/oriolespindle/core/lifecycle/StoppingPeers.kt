package oriolespindle.core.lifecycle

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Remembers which other instances of the availability zone have announced that they stop.
 *
 * A stopping instance repeats its announcement until its process ends. An announcement counts for [ttl], which covers
 * lost ones and the start of the process that follows.
 */
public class StoppingPeers(
    private val ttl: Duration = 3.seconds,
) {
    private val announcedAt = HashMap<InstanceId, Timestamp>()

    /** The number of other instances that are registered in the zone. */
    public var peers: Int = 0

    /** Called when [instance] announces that it stops. */
    public fun onStopping(
        now: Timestamp,
        instance: InstanceId,
    ) {
        announcedAt[instance] = now
    }

    /** Returns the share of the other instances that have not announced that they stop; 0 if there are none. */
    public fun readyShare(now: Timestamp): Double {
        announcedAt.values.removeIf { now - it >= ttl }
        if (peers <= 0) return 0.0
        return (peers - announcedAt.size).coerceAtLeast(0) / peers.toDouble()
    }
}
