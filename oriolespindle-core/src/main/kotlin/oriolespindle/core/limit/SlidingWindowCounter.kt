package oriolespindle.core.limit

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The sum of the amounts in a sliding window. An amount is counted for at least [window] and at most one slice longer.
 */
internal class SlidingWindowCounter(
    window: Duration,
    slice: Duration,
) {
    private val sliceNanos = slice.inWholeNanoseconds
    private val slices = LongArray((window.inWholeNanoseconds / sliceNanos).toInt() + 1)
    private var current = Long.MIN_VALUE

    var total: Long = 0
        private set

    fun advance(now: Timestamp) {
        val index = index(now)
        if (index <= current) return
        val elapsedSlices = if (current == Long.MIN_VALUE) slices.size.toLong() else index - current
        if (elapsedSlices >= slices.size) {
            slices.fill(0)
            total = 0
        } else {
            for (i in current + 1..index) clear(i)
        }
        current = index
    }

    fun add(
        now: Timestamp,
        amount: Long,
    ) {
        advance(now)
        slices[position(current)] += amount
        total += amount
    }

    /** Subtracts [amount], which was added at [addedAt]; has no effect if it is no longer in the window. */
    fun refund(
        now: Timestamp,
        addedAt: Timestamp,
        amount: Long,
    ) {
        advance(now)
        val index = index(addedAt)
        if (index <= current - slices.size) return
        slices[position(index)] -= amount
        total -= amount
    }

    /**
     * Returns the time until at least [amount] of the current total has left the window, or null if the total is
     * smaller.
     */
    fun timeToRelease(
        now: Timestamp,
        amount: Long,
    ): Duration? {
        advance(now)
        if (amount <= 0) return Duration.ZERO
        var released = 0L
        for (i in current - slices.size + 1..current) {
            released += slices[position(i)]
            if (released >= amount) return ((i + slices.size) * sliceNanos - now.nanos).nanoseconds
        }
        return null
    }

    private fun clear(index: Long) {
        total -= slices[position(index)]
        slices[position(index)] = 0
    }

    private fun index(time: Timestamp): Long = Math.floorDiv(time.nanos, sliceNanos)

    private fun position(index: Long): Int = Math.floorMod(index, slices.size.toLong()).toInt()
}
