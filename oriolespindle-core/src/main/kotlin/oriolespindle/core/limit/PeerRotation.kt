package oriolespindle.core.limit

import com.dynatrace.hash4j.hashing.Hashing
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId

/**
 * The order in which this instance asks its peers for units: peers in its own zone first, otherwise a hash order that
 * differs between instances.
 */
internal class PeerRotation(
    private val self: InstanceId,
    private val zone: ZoneId,
) {
    private val hasher = Hashing.komihash5_0()
    private var order = listOf<InstanceId>()
    private var next = 0

    fun update(peers: List<SharePeer>) {
        order =
            peers
                .filter { it.instance != self }
                .sortedWith(compareBy({ it.zone != zone }, { hasher.hashCharsToLong("$self ${it.instance}") }))
                .map { it.instance }
        next = 0
    }

    /** Restarts with the peers in the own zone. */
    fun reset() {
        next = 0
    }

    /** Returns up to [count] of the next peers that satisfy [eligible]. */
    fun take(
        count: Int,
        eligible: (InstanceId) -> Boolean,
    ): List<InstanceId> {
        val taken = mutableListOf<InstanceId>()
        repeat(order.size) {
            if (taken.size == count) return taken
            val peer = order[next % order.size]
            next++
            if (eligible(peer)) taken += peer
        }
        return taken
    }
}
