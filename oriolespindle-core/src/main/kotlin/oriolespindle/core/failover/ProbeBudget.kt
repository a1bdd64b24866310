package oriolespindle.core.failover

import oriolespindle.core.time.Timestamp
import kotlin.time.DurationUnit

/** A token bucket for probes: [perSecond] on average, and [burst] at once. Confined to one thread. */
internal class ProbeBudget(
    private val perSecond: Double,
    private val burst: Double,
) {
    private var available = burst
    private var updatedAt: Timestamp? = null

    /** Takes one probe at [now]; returns false if none is left. */
    fun take(now: Timestamp): Boolean {
        val elapsed = updatedAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        available = minOf(burst, available + elapsed * perSecond)
        updatedAt = now
        if (available < 1) return false
        available--
        return true
    }
}
