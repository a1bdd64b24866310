package oriolespindle.core.config

import oriolespindle.core.time.Timestamp
import java.util.random.RandomGenerator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Settings of the silence timeout of a watch and of the backoff before it is reopened. */
public data class WatchLivenessSettings(
    /**
     * The time without a line after which a watch is considered dead.
     *
     * The platform sends an idle line every second, and a slow platform does not miss three of them.
     */
    public val silenceTimeout: Duration = 3.seconds,
    /** The first backoff; it doubles with every failed attempt, up to [maxBackoff]. */
    public val initialBackoff: Duration = 200.milliseconds,
    /** The longest backoff between two attempts to open a watch. */
    public val maxBackoff: Duration = 5.seconds,
)

/** An event that [WatchLiveness] handles. */
public enum class WatchSignal {
    /** This instance starts to watch. */
    START,

    /** A line arrived, which may be an idle line. */
    LINE,

    /** The connection ended or could not be opened. */
    ENDED,

    /** The time returned by [WatchLiveness.nextTimer] has been reached or passed. */
    TICK,

    /** This instance stops watching. */
    STOP,
}

/** An action on the connection of a watch. */
public enum class WatchStep {
    /** Open a new connection that starts after the current complete revision. */
    OPEN,

    /** Close the connection and ignore lines that still arrive on it. */
    CLOSE,
}

/** Keeps one watch open, replacing its connection when no line arrives for [WatchLivenessSettings.silenceTimeout]. */
public class WatchLiveness(
    private val settings: WatchLivenessSettings = WatchLivenessSettings(),
    private val random: RandomGenerator,
) {
    private enum class Phase { STOPPED, OPEN, WAITING }

    private var phase = Phase.STOPPED
    private var timerAt: Timestamp? = null
    private var backoff = settings.initialBackoff

    /** Whether a line has arrived on the connection that is currently open. */
    public var isLive: Boolean = false
        private set

    /** Applies [signal] and returns the steps to perform, in order. */
    public fun handle(
        now: Timestamp,
        signal: WatchSignal,
    ): List<WatchStep> =
        when (signal) {
            WatchSignal.START -> if (phase == Phase.STOPPED) open(now) else emptyList()
            WatchSignal.LINE -> onLine(now)
            WatchSignal.ENDED -> if (phase == Phase.OPEN) scheduleReopen(now) else emptyList()
            WatchSignal.TICK -> onTick(now)
            WatchSignal.STOP -> stop()
        }

    /** Returns the time at which [WatchSignal.TICK] is due, or null while this instance does not watch. */
    public fun nextTimer(): Timestamp? = timerAt

    private fun open(now: Timestamp): List<WatchStep> {
        phase = Phase.OPEN
        isLive = false
        timerAt = now + settings.silenceTimeout
        return listOf(WatchStep.OPEN)
    }

    private fun onLine(now: Timestamp): List<WatchStep> {
        if (phase != Phase.OPEN) return emptyList()
        isLive = true
        backoff = settings.initialBackoff
        timerAt = now + settings.silenceTimeout
        return emptyList()
    }

    private fun onTick(now: Timestamp): List<WatchStep> {
        val reached = timerAt?.let { now >= it } ?: false
        if (!reached) return emptyList()
        if (phase == Phase.WAITING) return open(now)
        // A watch that delivered lines is reopened at once; one that never did backs off like a failed connection.
        if (isLive) return listOf(WatchStep.CLOSE) + open(now)
        return listOf(WatchStep.CLOSE) + scheduleReopen(now)
    }

    /** Schedules a retry after half to all of the backoff, at random, so that instances do not reconnect in step. */
    private fun scheduleReopen(now: Timestamp): List<WatchStep> {
        phase = Phase.WAITING
        isLive = false
        timerAt = now + backoff * (1 + random.nextDouble()) / 2
        backoff = minOf(backoff * 2, settings.maxBackoff)
        return emptyList()
    }

    private fun stop(): List<WatchStep> {
        val open = phase == Phase.OPEN
        phase = Phase.STOPPED
        isLive = false
        timerAt = null
        return if (open) listOf(WatchStep.CLOSE) else emptyList()
    }
}
