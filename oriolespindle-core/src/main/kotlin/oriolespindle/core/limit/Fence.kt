package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp

/** Blocks the use of this instance's units after a pause until the platform or a peer has confirmed them. */
internal class Fence(
    private val settings: ShareSettings,
) {
    private val probeAnswers = mutableMapOf<InstanceId, Timestamp>()
    private var lastEvent: Timestamp? = null
    private var resumedAt: Timestamp? = null
    private var now = Timestamp.ZERO

    /**
     * Whether the allotment has to be read from the platform after a pause; until then units may be used only under a
     * lease.
     */
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

    /**
     * Handles a read of the allotment that was sent at [requestedAt], which confirms it if sent after the last pause.
     */
    fun onAllotmentRead(requestedAt: Timestamp) {
        val resumed = resumedAt
        if (resumed != null && requestedAt >= resumed) resumedAt = null
    }

    /** Renews the lease from [peer], which has answered a probe that was sent at [sentAt]. */
    fun renewLease(
        peer: InstanceId,
        sentAt: Timestamp,
    ) {
        val known = probeAnswers[peer]
        if (known == null || sentAt > known) probeAnswers[peer] = sentAt
    }

    /** Returns whether [peer] has answered a probe that was sent within [ShareSettings.leaseTtl]. */
    fun hasLeaseFrom(peer: InstanceId): Boolean = probeAnswers[peer]?.let { now - it <= settings.leaseTtl } ?: false

    /** Returns whether any peer has answered a probe that was sent within [ShareSettings.leaseTtl]. */
    fun hasLease(): Boolean = probeAnswers.keys.any(::hasLeaseFrom)

    fun mayUseUnits(): Boolean = !isAwaitingConfirmation || hasLease()
}
