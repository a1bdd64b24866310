package oriolespindle.core.order

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Spaces loads so that together they never ask the weight store for more than its rate. */
internal class LoadPacer(
    private val bytesPerSecond: Long,
) {
    private var storeFreeAt: Timestamp? = null

    /** Returns when the next load may start. */
    fun nextStart(now: Timestamp): Timestamp = maxOf(now, storeFreeAt ?: now)

    /** Reserves the store's time for a load of [bytes] that starts now or is already running. */
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
