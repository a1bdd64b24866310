package oriolespindle.core.config

import oriolespindle.core.time.Timestamp
import java.util.random.RandomGenerator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** When a watch counts as silent and how it is opened again. */
public data class WatchLivenessSettings(
    /** The platform sends an idle line every second; three missing lines are not a slow platform. */
    public val silenceTimeout: Duration = 3.seconds,
    public val initialBackoff: Duration = 200.milliseconds,
    public val maxBackoff: Duration = 5.seconds,
)

/** What happened to a watch. */
public enum class WatchSignal {
    /** This instance begins to watch. */
    START,

    /** Any line arrived, an idle line included. */
    LINE,

    /** The connection ended or could not be opened. */
    ENDED,

    /** The time of [WatchLiveness.nextTimer], or any later time, has come. */
    TICK,

    /** This instance no longer watches. */
    STOP,
}

/** What to do with the connection of a watch. */
public enum class WatchStep {
    /** Open a new connection from the revision that is complete now. */
    OPEN,

    /** Close the connection; what still arrives on it is ignored. */
    CLOSE,
}

/** Keeps one watch open: a watch without a line for some seconds is closed and opened again on a new connection. */
public class WatchLiveness(
    private val settings: WatchLivenessSettings = WatchLivenessSettings(),
    private val random: RandomGenerator,
) {
    private enum class Phase { STOPPED, OPEN, WAITING }

    private var phase = Phase.STOPPED
    private var timerAt: Timestamp? = null
    private var backoff = settings.initialBackoff

    /** Whether a line arrived on the connection that is open now. */
    public var isLive: Boolean = false
        private set

    /** Applies [signal] and returns what to do, in order. */
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

    /** Returns when [WatchSignal.TICK] is due, or null while this instance does not watch. */
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
        // A watch that was live works on a new connection at once; one that never answered waits like a failed one.
        if (isLive) return listOf(WatchStep.CLOSE) + open(now)
        return listOf(WatchStep.CLOSE) + scheduleReopen(now)
    }

    /** The delay is random between half and the whole of the backoff, so that instances do not reconnect in step. */
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
