package oriolespindle.core.limit

import com.dynatrace.hash4j.hashing.Hashing
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId

/** The order in which peers are asked for units: those of the own zone first, each instance in an order of its own. */
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

    /** Starts again with the peers of the own zone. */
    fun reset() {
        next = 0
    }

    /** Returns the next [count] peers that satisfy [eligible], or fewer. */
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
