package oriolespindle.core.fairness

import oriolespindle.core.time.Timestamp
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The tokens served per second of busy time, with exponential decay of older measurements.
 *
 * Only time in which requests wait counts as busy; otherwise the rate would be the arrival rate. After a longer idle
 * time the rate is unknown again, so that an outage does not cause refusals after its end.
 */
internal class ServiceRate(
    private val window: Duration,
    private val minBusyTime: Duration,
) {
    private var served = 0.0
    private var busySeconds = 0.0
    private var measuredUntil: Timestamp? = null

    /** The rate in tokens per second, or null if too little busy time was observed to measure it. */
    val perSecond: Double?
        get() = if (busySeconds >= minBusyTime.toDouble(DurationUnit.SECONDS)) served / busySeconds else null

    /** Counts the time up to [now]; [busy] says whether requests were waiting in that time. */
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
