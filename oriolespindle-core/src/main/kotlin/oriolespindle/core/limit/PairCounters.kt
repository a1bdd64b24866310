package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId

/**
 * The transfer counters of one limit between this instance and each other instance.
 *
 * A counter is the total number of units given and only grows. A message that carries it can be lost, duplicated or
 * reordered, because the receiver keeps the maximum.
 */
internal class PairCounters {
    private val given = mutableMapOf<InstanceId, Long>()
    private val received = mutableMapOf<InstanceId, Long>()

    /** Units given to removed instances, minus units received from them. */
    var removedNet: Long = 0
        private set

    /** Units received from all other instances, minus units given to them and minus [removedNet]. */
    var balance: Long = 0
        private set

    fun given(to: InstanceId): Long = given[to] ?: 0

    fun received(from: InstanceId): Long = received[from] ?: 0

    fun givers(): Set<InstanceId> = received.keys

    fun partners(): Set<InstanceId> = given.keys + received.keys

    fun give(
        to: InstanceId,
        units: Int,
    ) {
        require(units > 0) { "units is $units, must be positive" }
        given[to] = given(to) + units
        balance -= units
    }

    /** Records the counter of [from] and returns whether it is higher than the last known one. */
    fun receive(
        from: InstanceId,
        count: Long,
    ): Boolean {
        val known = received(from)
        if (count <= known) return false
        received[from] = count
        balance += count - known
        return true
    }

    /**
     * Closes the pair with the removed instance [gone] and moves its net transfer to [removedNet] for the successor.
     */
    fun settle(gone: InstanceId) {
        removedNet += (given.remove(gone) ?: 0) - (received.remove(gone) ?: 0)
    }

    /** Closes the pair with [gone], which was removed before this instance became a member, and drops its units. */
    fun discard(gone: InstanceId) {
        balance += (given.remove(gone) ?: 0) - (received.remove(gone) ?: 0)
    }
}
