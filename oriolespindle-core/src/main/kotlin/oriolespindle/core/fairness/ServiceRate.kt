package oriolespindle.core.fairness

import oriolespindle.core.time.Timestamp
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The tokens served per second of busy time, with older measurements losing weight.
 *
 * Only time with something waiting counts; otherwise the rate would be that of the arrivals. After a longer idle time
 * the rate is unknown again, so that an outage does not cause refusals after its end.
 */
internal class ServiceRate(
    private val window: Duration,
    private val minBusyTime: Duration,
) {
    private var served = 0.0
    private var busySeconds = 0.0
    private var measuredUntil: Timestamp? = null

    /** The rate in tokens per second, or null if it has not been measured. */
    val perSecond: Double?
        get() = if (busySeconds >= minBusyTime.toDouble(DurationUnit.SECONDS)) served / busySeconds else null

    /** Counts the time up to [now], in which something was waiting if [busy]. */
    fun advance(
        now: Timestamp,
        busy: Boolean,
    ) {
        val from = measuredUntil
        measuredUntil = now
        if (from == null || now <= from) return
        val elapsed = now - from
        val decay = exp(-elapsed / window)
        served *= decay
        busySeconds *= decay
        if (busy) busySeconds += elapsed.toDouble(DurationUnit.SECONDS)
    }

    fun onServed(tokens: Double) {
        served += tokens
    }
}
