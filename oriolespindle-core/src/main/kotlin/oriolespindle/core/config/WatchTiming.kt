package oriolespindle.core.config

import oriolespindle.core.time.Timestamp
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
    /** How long the store may hold a call open that only finds out whether it answers. */
    public val probeWait: Duration = 50.milliseconds,
    /** The time between the starts of two calls after the first failure; it doubles with each further one. */
    public val initialRetryInterval: Duration = 50.milliseconds,
    /** The longest time between the starts of two calls, unless a call takes longer. */
    public val maxRetryInterval: Duration = 500.milliseconds,
)

/** One call of a watch: how long the store may hold it open without a change, and when it is given up. */
public data class WatchCall(
    public val wait: Duration,
    public val timeout: Duration,
)

/**
 * Decides how long the calls of one watch last, and when a failed one is repeated.
 *
 * A call that a silent store or connection has swallowed is only noticed by its timeout, so everything that follows
 * has to fit into the rest of [WatchTimingSettings.silenceLimit]. After a failure, calls are short until one is
 * answered: an open watch without changes would not tell that the store is back.
 */
public class WatchTiming(
    private val settings: WatchTimingSettings,
) {
    private var failures = 0
    private var startedAt = Timestamp.ZERO

    private val probe = WatchCall(settings.probeWait, settings.probeWait + settings.answerTime)
    private val watch =
        (settings.silenceLimit - settings.answerTime - settings.maxGap - probe.timeout).let {
            WatchCall(it, it + settings.answerTime)
        }

    /** Whether the store does not answer; a single watch can be interrupted while the store is healthy. */
    public val isStoreLost: Boolean get() = failures >= FAILURES_UNTIL_LOST

    /** Returns the call that starts [now]. */
    public fun start(now: Timestamp): WatchCall {
        startedAt = now
        return if (failures == 0) watch else probe
    }

    /** Called when the store has answered. */
    public fun onSuccess() {
        failures = 0
    }

    /** Called when the call in progress has failed; returns the delay before the next one. */
    public fun onFailure(now: Timestamp): Duration {
        val factor = 1 shl minOf(failures, MAX_DOUBLINGS)
        failures++
        val interval = minOf(settings.initialRetryInterval * factor, settings.maxRetryInterval)
        return (startedAt + interval - now).coerceAtLeast(Duration.ZERO)
    }

    private companion object {
        const val FAILURES_UNTIL_LOST = 2

        /** Bounds the factor of an interval, which reaches its maximum after a few doublings. */
        const val MAX_DOUBLINGS = 5
    }
}
