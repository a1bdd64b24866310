package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The state of one limit in a [ShareLedger]. */
internal class KeyState(
    val key: LimitKey,
) {
    val pairs = PairCounters()
    var usage = KeyUsage(key, 0, 0, 0)
        private set
    var escrow: Escrow? = null

    /** The units last passed to the limiter; [publishedSequence] is the sequence number of that update. */
    var publishedUnits = 0
    var publishedSequence = 0L

    private var nextWantAt = Timestamp.ZERO
    private var wantBackoff = INITIAL_WANT_BACKOFF

    fun updateUsage(reported: KeyUsage?) {
        val next = reported ?: KeyUsage(key, 0, 0, 0)
        if (next.demand > usage.demand + usage.demand / 4 || next.need > usage.need) resetWantBackoff()
        usage = next
    }

    /** Allows the next want to be sent immediately and resets the backoff. */
    fun resetWantBackoff() {
        wantBackoff = INITIAL_WANT_BACKOFF
        nextWantAt = Timestamp(Long.MIN_VALUE)
    }

    /** Returns whether a want may be sent now, and if so doubles the backoff until the next one. */
    fun maySendWant(now: Timestamp): Boolean {
        if (now < nextWantAt) return false
        nextWantAt = now + wantBackoff
        wantBackoff = minOf(wantBackoff * 2, MAX_WANT_BACKOFF)
        return true
    }

    private companion object {
        val INITIAL_WANT_BACKOFF = 100.milliseconds
        val MAX_WANT_BACKOFF = 2.seconds
    }
}

/** Units withdrawn from the limiter by the update [sequence] in order to be given to [peer]. */
internal class Escrow(
    val peer: InstanceId,
    val units: Int,
    val sequence: Long,
)
