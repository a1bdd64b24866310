package oriolespindle.core.limit

import oriolespindle.core.time.Timestamp
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.DurationUnit

/**
 * The local share of one rate limit of a contract.
 *
 * A token bucket spreads the admitted amount over time. A large request puts the bucket into debt, which makes its
 * bound too weak for small contracts on many instances. The amount in a window is therefore bounded as well: each unit
 * stands for a fixed amount and is occupied for one window after its use. Only unoccupied units are given to other
 * instances, so the sum over all instances keeps this bound too.
 */
internal class RateLimit(
    private val settings: LimiterSettings,
) {
    private val admitted = SlidingWindowCounter(settings.window, settings.slice)
    private val offered = SlidingWindowCounter(settings.demandWindow, settings.slice)
    private val windowSeconds = settings.window.toDouble(DurationUnit.SECONDS)
    private val burstSeconds = settings.burst.toDouble(DurationUnit.SECONDS)
    private var rate = 0.0
    private var level = 0.0
    private var refilledAt: Timestamp? = null
    private var receivedUnits = 0
    private var credit = 0.0
    private var busySince: Timestamp? = null
    private var lastRefusalAt: Timestamp? = null
    private var smallestRefused = 0L

    var units: Int = 0
        private set

    /** Sets the units. Added units come with credit, because they were unoccupied at the instance that gave them. */
    fun assign(value: Int) {
        if (value > units) receivedUnits += value - units
        units = value
    }

    fun onOffered(
        now: Timestamp,
        amount: Long,
        contractRate: Double,
    ) {
        rate = contractRate
        refill(now)
        offered.advance(now)
        if (offered.total == 0L) busySince = now
        offered.add(now, amount)
    }

    /** Returns whether an instance that holds all units could admit [amount]. */
    fun canEverAdmit(amount: Long): Boolean = amount <= budget(LimitKey.TOTAL_UNITS)

    fun lacksUnits(amount: Long): Boolean = amount > budget(units)

    /**
     * Returns the time until [amount] can be admitted, 0 if it can be admitted now; a wait is recorded as a refusal.
     */
    fun timeUntilAdmission(
        now: Timestamp,
        amount: Long,
    ): Duration {
        if (amount == 0L) return Duration.ZERO
        if (lacksUnits(amount)) return recordRefusal(now, amount, settings.transferRetryDelay)
        admitted.advance(now)
        val excess = admitted.total + amount - budget(units)
        val windowDelay =
            checkNotNull(admitted.timeToRelease(now, excess)) { "the excess is larger than the amount in the window" }
        val wait = maxOf(windowDelay, bucketDelay())
        return if (wait > Duration.ZERO) recordRefusal(now, amount, wait) else wait
    }

    fun consume(
        now: Timestamp,
        amount: Long,
    ) {
        admitted.add(now, amount)
        level = (level - amount).coerceAtLeast(-localRate())
    }

    fun settle(
        now: Timestamp,
        admittedAt: Timestamp,
        estimated: Long,
        actual: Long,
    ) {
        if (actual > estimated) {
            admitted.add(now, actual - estimated)
        } else {
            admitted.refund(now, admittedAt, estimated - actual)
        }
        level = (level + estimated - actual).coerceIn(-localRate(), maxOf(level, localRate() * burstSeconds))
    }

    /** Returns the usage in units, or null if nothing was admitted or offered recently. */
    fun usage(
        now: Timestamp,
        key: LimitKey,
    ): KeyUsage? {
        admitted.advance(now)
        offered.advance(now)
        if (admitted.total == 0L && offered.total == 0L) return null
        val refusal = lastRefusalAt?.takeIf { now - it <= settings.demandWindow }
        val need = if (refusal == null) 0 else unitsFor(admitted.total + smallestRefused)
        return KeyUsage(key, unitsFor(admitted.total), demand(now), need)
    }

    private fun demand(now: Timestamp): Int {
        val since = busySince
        if (since == null || rate <= 0.0) return 0
        val elapsed = (now - since).coerceIn(MIN_SAMPLE, settings.demandWindow)
        val demandRate = offered.total / elapsed.toDouble(DurationUnit.SECONDS)
        return toUnits(demandRate / rate * HEADROOM)
    }

    private fun recordRefusal(
        now: Timestamp,
        amount: Long,
        wait: Duration,
    ): Duration {
        val last = lastRefusalAt
        val recent = last != null && now - last <= settings.demandWindow
        smallestRefused = if (recent) minOf(smallestRefused, amount) else amount
        lastRefusalAt = now
        return wait
    }

    private fun refill(now: Timestamp) {
        val local = localRate()
        val last = refilledAt
        val elapsed = last?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: burstSeconds
        // Credit raises the rate to at most that of the whole contract. Spending it at once would exhaust the window
        // early and cause a gap, and so would credit that is older than one window.
        val extra = minOf(credit, (rate - local) * elapsed)
        val added = if (last == null) 0.0 else rate * windowSeconds * receivedUnits / LimitKey.TOTAL_UNITS
        credit = (credit - extra + added) * (1 - elapsed / windowSeconds).coerceAtLeast(0.0)
        receivedUnits = 0
        val depth = (if (extra > 0) rate else local) * burstSeconds
        level = maxOf(level, minOf(depth, level + local * elapsed + extra))
        refilledAt = now
    }

    private fun bucketDelay(): Duration {
        if (level > 0) return Duration.ZERO
        val local = localRate()
        return if (local <=
            0.0
        ) {
            settings.transferRetryDelay
        } else {
            (-level / local * NANOS_PER_SECOND).toLong().nanoseconds + 1.milliseconds
        }
    }

    private fun localRate(): Double = rate * units / LimitKey.TOTAL_UNITS

    private fun budget(units: Int): Long = (fullBudget() * units / LimitKey.TOTAL_UNITS).toLong()

    private fun fullBudget(): Double = rate * windowSeconds * (1 + settings.tolerance)

    private fun unitsFor(amount: Long): Int = if (rate <= 0.0) 0 else toUnits(amount / fullBudget())

    private fun toUnits(part: Double): Int =
        ceil(part * LimitKey.TOTAL_UNITS).coerceAtMost(LimitKey.TOTAL_UNITS.toDouble()).toInt()

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val HEADROOM = 1.05
        val MIN_SAMPLE = 300.milliseconds
    }
}
