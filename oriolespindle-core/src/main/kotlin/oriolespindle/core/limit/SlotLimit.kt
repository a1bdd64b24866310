package oriolespindle.core.limit

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The local part of the concurrency of a contract, in whole slots. */
internal class SlotLimit(
    private val settings: LimiterSettings,
) {
    private val refused = RateWindow(settings.demandWindow, settings.slice)
    private var concurrency = 0
    private var inUse = 0
    private var peak = 0
    private var earlierPeak = 0
    private var peakSince: Timestamp? = null
    private var meanHold = 1.seconds

    var units: Int = 0

    /** Takes a slot if [contractSlots] and the units allow it. */
    fun take(
        now: Timestamp,
        contractSlots: Int,
    ): Boolean {
        concurrency = contractSlots
        if (inUse >= slotsOf(units, concurrency)) {
            refused.add(now, 1)
            return false
        }
        rollPeak(now)
        inUse++
        peak = maxOf(peak, inUse)
        return true
    }

    fun giveBack(
        now: Timestamp,
        takenAt: Timestamp,
    ) {
        rollPeak(now)
        inUse--
        meanHold += (now - takenAt - meanHold) / SMOOTHING
    }

    /** Undoes a take for a request that another limit refuses. */
    fun undo() {
        inUse--
    }

    fun lacksUnits(): Boolean = units < LimitKey.TOTAL_UNITS && concurrency > 0

    /** Returns the mean time until one of the local slots is given back. */
    fun retryAfter(): Duration = (meanHold / inUse.coerceAtLeast(1)).coerceIn(MINIMUM_RETRY, MAXIMUM_RETRY)

    fun usage(
        now: Timestamp,
        key: LimitKey,
    ): KeyUsage? {
        refused.advance(now)
        rollPeak(now)
        val busiest = maxOf(peak, earlierPeak)
        if (busiest == 0 && refused.used == 0L) return null
        val wanted = (busiest + refused.used).coerceAtMost(concurrency.toLong()).toInt()
        val need = if (refused.used > 0) unitsOf(minOf(inUse + 1, concurrency), concurrency) else 0
        return KeyUsage(key, unitsOf(inUse, concurrency), unitsOf(wanted, concurrency), need)
    }

    private fun rollPeak(now: Timestamp) {
        val since = peakSince
        if (since != null && now - since < settings.demandWindow) return
        earlierPeak = if (since != null && now - since < settings.demandWindow * 2) maxOf(peak, inUse) else inUse
        peak = inUse
        peakSince = now
    }

    internal companion object {
        private const val SMOOTHING = 16
        private val MINIMUM_RETRY = 50.milliseconds
        private val MAXIMUM_RETRY = 5.seconds

        /** Returns the whole slots that [units] stand for. */
        fun slotsOf(
            units: Int,
            concurrency: Int,
        ): Int = (units.toLong() * concurrency / LimitKey.TOTAL_UNITS).toInt()

        /** Returns the least units that stand for [slots] whole slots. */
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
