package oriolespindle.core.order

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Rate limiter for loads: spaces them so that together they do not exceed the rate of the weight store. */
internal class LoadPacer(
    private val bytesPerSecond: Long,
) {
    private var storeFreeAt: Timestamp? = null

    /** Returns the earliest time at which the next load may start. */
    fun nextStart(now: Timestamp): Timestamp = maxOf(now, storeFreeAt ?: now)

    /** Reserves the weight store for a load of [bytes] that starts now or is already running. */
    fun reserve(
        now: Timestamp,
        bytes: Long,
    ) {
        storeFreeAt = nextStart(now) + transferDuration(bytes)
    }

    private fun transferDuration(bytes: Long): Duration =
        (bytes.toDouble() / bytesPerSecond * NANOS_PER_SECOND).toLong().nanoseconds

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
