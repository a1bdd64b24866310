package oriolespindle.core.stream

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** The judgement of a [GapDetector]. */
public sealed interface GapVerdict {
    /** The gap is within what the chain usually shows. */
    public data object Normal : GapVerdict

    /** The [gap] exceeds [limit], which follows from the gaps measured on the chain. */
    public data class Suspicious(
        public val gap: Duration,
        public val limit: Duration,
    ) : GapVerdict
}

/**
 * Judges the time since the last token of one stream by the gaps that its chain has shown.
 *
 * [gaps] is shared by the streams of a chain. A gap that proves harmless is measured when its token arrives, so the
 * limit follows a chain that becomes slower. Time during which reading from the connection is paused, or during which
 * this process did not run, does not count.
 */
public class GapDetector(
    private val settings: GapSettings,
    private val gaps: ChainGaps = ChainGaps(settings),
) {
    private var gapStart: Timestamp? = null
    private var awaitsFirstToken = true
    private var isPaused = false
    private var plannedCheck: Timestamp? = null

    /** Starts to wait for the first token of an attempt. */
    public fun onAttemptStarted(now: Timestamp) {
        gapStart = now
        awaitsFirstToken = true
        plannedCheck = null
    }

    /** Notes that a token arrived. */
    public fun onToken(now: Timestamp) {
        val last = gapStart
        if (last != null && !isPaused) gapWindow().record(now - last)
        gapStart = now
        awaitsFirstToken = false
        plannedCheck = null
    }

    /** Stops counting while reading from the connection is paused. */
    public fun pause(now: Timestamp) {
        isPaused = true
    }

    /** Counts from [now] on after [pause]. */
    public fun resume(now: Timestamp) {
        isPaused = false
        gapStart = now
        plannedCheck = null
    }

    /** Judges the gap that is open at [now]. */
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

    /** Returns when [check] is worth calling next; it is after [now]. */
    public fun nextCheck(now: Timestamp): Timestamp {
        val limit = gapWindow().limit + RESOLUTION
        val next = maxOf((gapStart ?: now) + limit, now + settings.minLimit)
        plannedCheck = next
        return next
    }

    private fun gapWindow(): GapWindow = if (awaitsFirstToken) gaps.firstToken else gaps.betweenTokens

    private companion object {
        /** Puts a check just behind the limit instead of on it. */
        val RESOLUTION = Duration.parse("1us")
    }
}
