package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp

/** Decides whether this instance may use its units, given pauses and what the platform and peers have confirmed. */
internal class Fence(
    private val settings: ShareSettings,
) {
    private val probeAnswers = mutableMapOf<InstanceId, Timestamp>()
    private var lastEvent: Timestamp? = null
    private var resumedAt: Timestamp? = null
    private var now = Timestamp.ZERO

    /** Whether nothing has confirmed the allotment for good since the last pause. */
    val isAwaitingConfirmation: Boolean get() = resumedAt != null

    fun advance(time: Timestamp) {
        val last = lastEvent
        if (last != null && time - last > settings.pauseLimit) {
            resumedAt = time
            probeAnswers.clear()
        }
        lastEvent = time
        now = time
    }

    /** Takes a read of the allotment from the platform that was sent at [requestedAt]. */
    fun onAllotmentRead(requestedAt: Timestamp) {
        val resumed = resumedAt
        if (resumed != null && requestedAt >= resumed) resumedAt = null
    }

    /** Takes the answer of [peer] to a probe that was sent at [sentAt]. */
    fun renewLease(
        peer: InstanceId,
        sentAt: Timestamp,
    ) {
        val known = probeAnswers[peer]
        if (known == null || sentAt > known) probeAnswers[peer] = sentAt
    }

    /** Returns whether [peer] has answered a probe that was sent within the lease. */
    fun hasLeaseFrom(peer: InstanceId): Boolean = probeAnswers[peer]?.let { now - it <= settings.leaseTtl } ?: false

    /** Returns whether any peer has answered a probe that was sent within the lease. */
    fun hasLease(): Boolean = probeAnswers.keys.any(::hasLeaseFrom)

    fun mayUseUnits(): Boolean = !isAwaitingConfirmation || hasLease()
}
