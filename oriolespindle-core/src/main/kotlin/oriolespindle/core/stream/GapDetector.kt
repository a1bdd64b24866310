package oriolespindle.core.stream

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** The result of [GapDetector.check]. */
public sealed interface GapVerdict {
    /** The gap is within the limit. */
    public data object Normal : GapVerdict

    /** The [gap] exceeds [limit], which is derived from the gaps measured on the chain. */
    public data class Suspicious(
        public val gap: Duration,
        public val limit: Duration,
    ) : GapVerdict
}

/**
 * Detects that a stream has stalled, by comparing the time since its last token with the gaps measured on its chain.
 *
 * [gaps] is shared by the streams of a chain. A gap above the limit is also measured if its token arrives after all, so
 * that the limit adapts to a chain that becomes slower. Time during which reading from the connection is paused, or
 * during which this process did not run, is not counted.
 */
public class GapDetector(
    private val settings: GapSettings,
    private val gaps: ChainGaps = ChainGaps(settings),
) {
    private var gapStart: Timestamp? = null
    private var awaitsFirstToken = true
    private var isPaused = false
    private var plannedCheck: Timestamp? = null

    /** Starts the wait for the first token of an attempt. */
    public fun onAttemptStarted(now: Timestamp) {
        gapStart = now
        awaitsFirstToken = true
        plannedCheck = null
    }

    /** Ends the current gap, because a token has arrived. */
    public fun onToken(now: Timestamp) {
        val last = gapStart
        if (last != null && !isPaused) gapWindow().record(now - last)
        gapStart = now
        awaitsFirstToken = false
        plannedCheck = null
    }

    /** Stops the measurement while reading from the connection is paused. */
    public fun pause(now: Timestamp) {
        isPaused = true
    }

    /** Restarts the measurement at [now] after [pause]. */
    public fun resume(now: Timestamp) {
        isPaused = false
        gapStart = now
        plannedCheck = null
    }

    /** Compares the current gap with the limit. */
    public fun check(now: Timestamp): GapVerdict {
        val last = gapStart ?: return GapVerdict.Normal
        val planned = plannedCheck
        plannedCheck = null
        if (isPaused) return GapVerdict.Normal
        if (planned != null && now - planned > settings.minOwnPause) {
            gapStart = now
            return GapVerdict.Normal
        }
        val gap = now - last
        val limit = gapWindow().limit
        return if (gap > limit) GapVerdict.Suspicious(gap, limit) else GapVerdict.Normal
    }

    /** Returns the time after [now] at which [check] should be called next. */
    public fun nextCheck(now: Timestamp): Timestamp {
        val limit = gapWindow().limit + RESOLUTION
        val next = maxOf((gapStart ?: now) + limit, now + settings.minLimit)
        plannedCheck = next
        return next
    }

    private fun gapWindow(): GapWindow = if (awaitsFirstToken) gaps.firstToken else gaps.betweenTokens

    private companion object {
        /** Schedules a check just after the limit, since a gap equal to the limit is normal. */
        val RESOLUTION = Duration.parse("1us")
    }
}
