package oriolespindle.core.failover

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * Decides how long a stream may have no event before the endpoints of its path are probed.
 *
 * The limit follows the mean interval between arrivals of events, since engines with many streams send less often. An
 * arrival counts once, however many events it brings. Confined to one thread.
 */
public class SilenceLimit(
    private val settings: FailoverSettings = FailoverSettings(),
) {
    private var mean: Duration? = null
    private var lastAt = Timestamp.ZERO
    private var probedAt: Timestamp? = null

    /** Whether the next interval is none between two events of one run. */
    private var isFirst = true

    /** The time without an event after which the endpoints are probed. */
    public val limit: Duration
        get() =
            mean?.let { (it * MEANS).coerceIn(settings.minSilence, settings.maxSilence) }
                ?: settings.firstEventSilence

    /** Called when a run starts, or when the caller reads again and events can arrive. */
    public fun onWaitStarted(now: Timestamp) {
        lastAt = now
        isFirst = true
        probedAt = null
    }

    /** Called when events arrive. */
    public fun onEvents(now: Timestamp) {
        val interval = now - lastAt
        if (!isFirst) mean = mean?.let { it + (interval - it) * WEIGHT } ?: interval
        isFirst = false
        lastAt = now
        probedAt = null
    }

    /** Called when the endpoints are probed. */
    public fun onProbed(now: Timestamp) {
        probedAt = now
    }

    /** Returns the time until the endpoints have to be probed unless an event arrives; zero if that is now. */
    public fun remaining(now: Timestamp): Duration {
        val next = maxOf(lastAt + limit, probedAt?.let { it + settings.probeInterval } ?: Timestamp.ZERO)
        return maxOf(next - now, Duration.ZERO)
    }

    private companion object {
        /** How many mean intervals are no silence yet. */
        const val MEANS = 2.0

        /** The weight of a new interval; about ten events describe the current pace. */
        const val WEIGHT = 0.2
    }
}
