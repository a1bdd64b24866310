package oriolespindle.core.relay

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** A backoff that starts at [initial] and doubles with each [start] up to [max], until it is [reset]. */
internal class ExponentialBackoff(
    private val initial: Duration,
    private val max: Duration,
) {
    private var startCount = 0
    private var endsAt: Timestamp? = null

    fun isActive(now: Timestamp): Boolean = endsAt?.let { now < it } ?: false

    /** The time until the backoff ends; zero if none is active. */
    fun remaining(now: Timestamp): Duration = endsAt?.let { maxOf(it - now, Duration.ZERO) } ?: Duration.ZERO

    /** Starts the next backoff at [now] unless one is active. */
    fun start(now: Timestamp) {
        if (isActive(now)) return
        val factor = 1 shl minOf(startCount, MAX_DOUBLINGS)
        endsAt = now + minOf(initial * factor, max)
        startCount++
    }

    /** Starts a backoff of [duration] at [now] instead of an active one; the length of the next one does not change. */
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
        /** Bounds the factor; the longest backoffs are a few doublings of the initial one. */
        const val MAX_DOUBLINGS = 5
    }
}
