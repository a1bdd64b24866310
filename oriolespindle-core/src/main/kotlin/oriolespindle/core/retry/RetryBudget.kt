package oriolespindle.core.retry

import oriolespindle.core.time.Timestamp

/**
 * Limits retries to a fraction of the requests that were admitted in a sliding window.
 *
 * A retry is allowed if the retries of the window, including this one, are within the ratio. If a window has too few
 * requests for one retry, a credit applies instead; it grows by the ratio with each request, up to one retry. The
 * credit starts at one retry, because an instance that has just started would otherwise not retry its first failures.
 */
internal class RetryBudget(
    private val settings: RetrySettings,
    private val ratio: () -> Double = { settings.ratio },
) {
    private val slotNanos = settings.window.inWholeNanoseconds / SLOTS
    private val admittedRequests = IntArray(SLOTS)
    private val retryCosts = DoubleArray(SLOTS)
    private var slot = Long.MIN_VALUE
    private var credit = 1.0

    fun onRequestAdmitted(now: Timestamp) {
        advance(now)
        admittedRequests[index()]++
        credit = minOf(1.0, credit + ratio())
    }

    fun canSpend(
        now: Timestamp,
        cost: Double,
    ): Boolean {
        advance(now)
        val share = ratio() * admittedRequests.sum()
        return if (share >= 1) retryCosts.sum() + cost <= share + ROUNDING_ERROR else credit >= cost - ROUNDING_ERROR
    }

    fun spend(
        now: Timestamp,
        cost: Double,
    ) {
        advance(now)
        retryCosts[index()] += cost
        credit = maxOf(0.0, credit - cost)
    }

    private fun index() = Math.floorMod(slot, SLOTS)

    private fun advance(now: Timestamp) {
        val current = Math.floorDiv(now.nanos, slotNanos)
        if (current <= slot) return
        val passed = if (slot == Long.MIN_VALUE) SLOTS.toLong() else minOf(current - slot, SLOTS.toLong())
        for (age in 0 until passed) {
            val expiredSlot = Math.floorMod(current - age, SLOTS)
            admittedRequests[expiredSlot] = 0
            retryCosts[expiredSlot] = 0.0
        }
        slot = current
    }

    private companion object {
        const val SLOTS = 10

        /** Tolerance for rounding errors; ten additions of 0.1 yield slightly less than 1. */
        const val ROUNDING_ERROR = 1e-9
    }
}
