package oriolespindle.core.lifecycle

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Remembers which other instances of the availability zone have announced that they stop.
 *
 * A stopping instance repeats its announcement until its process ends. An announcement counts for [ttl], so that
 * neither a lost one nor the start of the next process looks like an instance that is ready.
 */
public class StoppingPeers(
    private val ttl: Duration = 3.seconds,
) {
    private val announcedAt = HashMap<InstanceId, Timestamp>()

    /** The other instances of the zone that announce their stops; announcements of any other id are ignored. */
    public var peers: Set<InstanceId> = emptySet()
        set(value) {
            field = value
            announcedAt.keys.retainAll(value)
        }

    /** Called when [instance] announces that it stops. */
    public fun onStopping(
        now: Timestamp,
        instance: InstanceId,
    ) {
        if (instance in peers) announcedAt[instance] = now
    }

    /** Returns the share of [peers] that have not announced that they stop; 0 if there are none. */
    public fun readyShare(now: Timestamp): Double {
        if (peers.isEmpty()) return 0.0
        val stopping = announcedAt.values.count { now - it < ttl }
        return (peers.size - stopping) / peers.size.toDouble()
    }
}
