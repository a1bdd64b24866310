package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId

/**
 * The counters of one limit between this instance and each other one.
 *
 * A counter is the number of units given in total and only grows, so that a message with it can be lost, repeated or
 * overtaken: the receiver keeps the maximum.
 */
internal class PairCounters {
    private val given = mutableMapOf<InstanceId, Long>()
    private val received = mutableMapOf<InstanceId, Long>()

    /** Units given to removed instances, less units received from them. */
    var removedNet: Long = 0
        private set

    /** Units received from all others less units given to them, and less [removedNet]. */
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
        require(units > 0) { "$units units given, must be positive" }
        given[to] = given(to) + units
        balance -= units
    }

    /** Takes the counter of [from] and returns whether it is higher than the known one. */
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

    /** Ends the pair with the removed instance [gone]; the successor gets what the pair has moved. */
    fun settle(gone: InstanceId) {
        removedNet += (given.remove(gone) ?: 0) - (received.remove(gone) ?: 0)
    }

    /** Ends the pair with [gone], which was removed before this instance became a member; its units are void. */
    fun discard(gone: InstanceId) {
        balance += (given.remove(gone) ?: 0) - (received.remove(gone) ?: 0)
    }
}
