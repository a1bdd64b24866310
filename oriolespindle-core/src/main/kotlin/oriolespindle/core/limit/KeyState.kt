package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The state of one limit in the ledger of an instance. */
internal class KeyState(
    val key: LimitKey,
) {
    val pairs = PairCounters()
    var usage = KeyUsage(key, 0, 0, 0)
        private set
    var escrow: Escrow? = null

    /** The units last passed to the limiter, and the sequence number of that update. */
    var published = 0
    var publishedIn = 0L

    private var wantAt = Timestamp.ZERO
    private var wantInterval = FIRST_WANT

    fun report(reported: KeyUsage?) {
        val next = reported ?: KeyUsage(key, 0, 0, 0)
        if (next.demand > usage.demand + usage.demand / 4 || next.need > usage.need) resetWant()
        usage = next
    }

    /** Lets the next want be sent at once. */
    fun resetWant() {
        wantInterval = FIRST_WANT
        wantAt = Timestamp(Long.MIN_VALUE)
    }

    /** Returns whether a want may be sent now; wants that bring nothing become rarer. */
    fun mayWant(now: Timestamp): Boolean {
        if (now < wantAt) return false
        wantAt = now + wantInterval
        wantInterval = minOf(wantInterval * 2, LAST_WANT)
        return true
    }

    private companion object {
        val FIRST_WANT = 100.milliseconds
        val LAST_WANT = 2.seconds
    }
}

/** Units withdrawn from the limiter by the update [sequence] in order to give them to [peer]. */
internal class Escrow(
    val peer: InstanceId,
    val units: Int,
    val sequence: Long,
)
