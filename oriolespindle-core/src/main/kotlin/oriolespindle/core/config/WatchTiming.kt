package oriolespindle.core.config

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The settings of [WatchTiming]. */
public data class WatchTimingSettings(
    /** The time within which changes must be known once the store can be reached, or a connection has gone silent. */
    public val silenceLimit: Duration,
    /** How long after its requested end a watch may be answered; covers a store that takes 250 ms to answer. */
    public val answerTime: Duration = 500.milliseconds,
    /** The time from the end of a watch to the start of the next one on a loaded machine. */
    public val maxGap: Duration = 100.milliseconds,
    /** The delay after the first failure; it doubles with each further one. */
    public val initialRetryDelay: Duration = 50.milliseconds,
    /** The longest delay, so that a configuration is applied in time once the store answers again. */
    public val maxRetryDelay: Duration = 800.milliseconds,
)

/** One call of a watch: how long the store may hold it open without a change, and when it is given up. */
public data class WatchCall(
    public val wait: Duration,
    public val timeout: Duration,
)

/** Decides how long the calls of one watch last, and when a failed one is repeated. */
public class WatchTiming(
    private val settings: WatchTimingSettings,
) {
    private var failures = 0

    /** Whether the store does not answer; a single watch can be interrupted while the store is healthy. */
    public val isStoreLost: Boolean get() = failures >= FAILURES_UNTIL_LOST

    /** Returns the next call. */
    public fun next(): WatchCall {
        val wait = settings.silenceLimit - settings.answerTime - settings.maxGap
        return WatchCall(wait, wait + settings.answerTime)
    }

    /** Called when the store has answered. */
    public fun onSuccess() {
        failures = 0
    }

    /** Called when a call has failed; returns the delay before it is repeated. */
    public fun onFailure(): Duration {
        val factor = 1 shl minOf(failures, MAX_DOUBLINGS)
        failures++
        return minOf(settings.initialRetryDelay * factor, settings.maxRetryDelay)
    }

    private companion object {
        const val FAILURES_UNTIL_LOST = 2

        /** Bounds the factor of a delay, which reaches its maximum after a few doublings. */
        const val MAX_DOUBLINGS = 5
    }
}
