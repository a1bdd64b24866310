package oriolespindle.core.relay

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** A pause that begins at [initial] and doubles each time it is started again, up to [max], until it is cleared. */
internal class ExponentialBackoff(
    private val initial: Duration,
    private val max: Duration,
) {
    private var startCount = 0
    private var endsAt: Timestamp? = null

    fun isActive(now: Timestamp): Boolean = endsAt?.let { now < it } ?: false

    /** Starts the next pause unless one is in progress. */
    fun start(now: Timestamp) {
        if (isActive(now)) return
        val factor = 1 shl minOf(startCount, MAX_DOUBLINGS)
        endsAt = now + minOf(initial * factor, max)
        startCount++
    }

    /** Pauses for [duration] from now, whatever is in progress, without a longer pause next time. */
    fun startFor(
        now: Timestamp,
        duration: Duration,
    ) {
        endsAt = now + duration
    }

    fun reset() {
        startCount = 0
        endsAt = null
    }

    private companion object {
        /** Keeps the factor small; longest pauses are a few doublings of the first. */
        const val MAX_DOUBLINGS = 5
    }
}
