package oriolespindle.core.limit

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The local share of the concurrency limit of a contract, in whole slots. */
internal class SlotLimit(
    private val settings: LimiterSettings,
) {
    private val refusals = SlidingWindowCounter(settings.demandWindow, settings.slice)
    private var concurrency = 0
    private var inUse = 0
    private var peak = 0
    private var previousPeak = 0
    private var peakWindowStart: Timestamp? = null
    private var meanHoldTime = 1.seconds

    var units: Int = 0

    /** Acquires a slot and returns true if [contractSlots] and the units allow it. */
    fun tryAcquire(
        now: Timestamp,
        contractSlots: Int,
    ): Boolean {
        concurrency = contractSlots
        if (inUse >= slotsOf(units, concurrency)) {
            refusals.add(now, 1)
            return false
        }
        rollPeak(now)
        inUse++
        peak = maxOf(peak, inUse)
        return true
    }

    fun release(
        now: Timestamp,
        acquiredAt: Timestamp,
    ) {
        rollPeak(now)
        inUse--
        meanHoldTime += (now - acquiredAt - meanHoldTime) / SMOOTHING
    }

    /** Undoes [tryAcquire] for a request that another limit refuses. */
    fun undoAcquire() {
        inUse--
    }

    fun lacksUnits(): Boolean = units < LimitKey.TOTAL_UNITS && concurrency > 0

    /** Returns the mean time until one of the local slots is released. */
    fun retryAfter(): Duration = (meanHoldTime / inUse.coerceAtLeast(1)).coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY)

    fun usage(
        now: Timestamp,
        key: LimitKey,
    ): KeyUsage? {
        refusals.advance(now)
        rollPeak(now)
        val busiest = maxOf(peak, previousPeak)
        if (busiest == 0 && refusals.total == 0L) return null
        val wanted = (busiest + refusals.total).coerceAtMost(concurrency.toLong()).toInt()
        val need = if (refusals.total > 0) unitsOf(minOf(inUse + 1, concurrency), concurrency) else 0
        return KeyUsage(key, unitsOf(inUse, concurrency), unitsOf(wanted, concurrency), need)
    }

    private fun rollPeak(now: Timestamp) {
        val since = peakWindowStart
        if (since != null && now - since < settings.demandWindow) return
        previousPeak = if (since != null && now - since < settings.demandWindow * 2) maxOf(peak, inUse) else inUse
        peak = inUse
        peakWindowStart = now
    }

    internal companion object {
        private const val SMOOTHING = 16
        private val MIN_RETRY_DELAY = 50.milliseconds
        private val MAX_RETRY_DELAY = 5.seconds

        /** Returns the number of whole slots that [units] stand for. */
        fun slotsOf(
            units: Int,
            concurrency: Int,
        ): Int = (units.toLong() * concurrency / LimitKey.TOTAL_UNITS).toInt()

        /** Returns the smallest number of units that stands for [slots] whole slots. */
        fun unitsOf(
            slots: Int,
            concurrency: Int,
        ): Int {
            if (concurrency <= 0) return 0
            val units = (slots.toLong() * LimitKey.TOTAL_UNITS + concurrency - 1) / concurrency
            return units.coerceAtMost(LimitKey.TOTAL_UNITS.toLong()).toInt()
        }
    }
}
