package oriolespindle.core.admission

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How long a request may wait.
 *
 * @property inTimeUntil the latest start with which its first event is in time.
 * @property until the latest start with which it is answered before its caller disconnects.
 */
public data class WaitLimits(
    public val inTimeUntil: Timestamp,
    public val until: Timestamp,
) {
    public companion object {
        /** Callers disconnect after a silence of at least this, of 4 objectives, and of 8 gaps between events. */
        private val MIN_SILENCE = 2.seconds
        private const val OBJECTIVES_OF_SILENCE = 4
        private const val GAPS_OF_SILENCE = 8

        /**
         * Returns the limits of a request that arrived at [arrivedAt].
         *
         * [objective] is the target for its first event, which usually takes [typicalFirstEvent] after a start, and
         * [maxEventGap] the longest gap between two events; [expiry] is its deadline or the end of its timeout.
         * Without an objective, a first event is in time as long as the caller waits for it.
         */
        public fun of(
            arrivedAt: Timestamp,
            objective: Duration?,
            maxEventGap: Duration?,
            typicalFirstEvent: Duration,
            expiry: Timestamp,
        ): WaitLimits {
            val silence =
                maxOf(
                    MIN_SILENCE,
                    (objective ?: Duration.ZERO) * OBJECTIVES_OF_SILENCE,
                    (maxEventGap ?: Duration.ZERO) * GAPS_OF_SILENCE,
                )
            val until = minOf(arrivedAt + silence, expiry) - typicalFirstEvent
            val inTimeUntil = objective?.let { arrivedAt + it - typicalFirstEvent } ?: until
            return WaitLimits(minOf(inTimeUntil, until), until)
        }
    }
}
