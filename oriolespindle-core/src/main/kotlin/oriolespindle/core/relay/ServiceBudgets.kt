package oriolespindle.core.relay

import oriolespindle.core.id.ServiceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The retry budget that all instances share; each uses its share of [burst], so that they need not communicate. */
public data class ServiceBudgetSettings(
    /** The retries allowed in one window as a fraction of its requests. */
    public val ratio: Double,
    /** The retries allowed in one window in addition to [ratio], over all instances. */
    public val burst: Int,
    /** The length of the sliding window. */
    public val window: Duration = 10.seconds,
    /** The fraction of the budget that is used, so that windows that do not start together stay within it. */
    public val safety: Double = 0.8,
    /**
     * The fraction of its share of [burst] that a process uses in its first window, in which its predecessor may have
     * used the whole share. Together with [safety] it leaves room for two starts in one window.
     */
    public val firstWindowPart: Double = 0.1,
)

/**
 * The retry budgets of all services, which count requests and retries over a sliding window.
 *
 * The burst is shared with the other instances and with the previous process of this instance. Therefore none of it is
 * used until [instances] is known, and only [ServiceBudgetSettings.firstWindowPart] in the first window after
 * [startedAt].
 */
public class ServiceBudgets(
    private val settings: ServiceBudgetSettings,
    /** When this process started. */
    private val startedAt: Timestamp,
) {
    private class Window {
        val requests = IntArray(RETRY_SLOTS)
        val retries = IntArray(RETRY_SLOTS)
        var slot = Long.MIN_VALUE

        /** The requests of the newest [SLOTS] slots. */
        val countedRequests: Int get() = requests.sum() - requests[Math.floorMod(slot - SLOTS, RETRY_SLOTS)]
    }

    private val windows = HashMap<ServiceId, Window>()
    private val slotNanos = settings.window.inWholeNanoseconds / SLOTS

    /** The number of instances that share the burst, at least 1; null until it is known. */
    public var instances: Int? = null
        set(value) {
            field = value?.coerceAtLeast(1)
        }

    /** Counts a caller's request on a route to [service]. */
    public fun onRequest(
        now: Timestamp,
        service: ServiceId,
    ) {
        val window = currentWindow(now, service)
        window.requests[index(window)]++
    }

    /** Takes one retry from the budget of [service]; returns false if none is left. */
    public fun takeRetry(
        now: Timestamp,
        service: ServiceId,
    ): Boolean {
        if (!hasRetry(now, service)) return false
        val window = currentWindow(now, service)
        window.retries[index(window)]++
        return true
    }

    /** Returns whether the budget of [service] has a retry left. */
    public fun hasRetry(
        now: Timestamp,
        service: ServiceId,
    ): Boolean {
        val window = currentWindow(now, service)
        val allowed = settings.safety * settings.ratio * window.countedRequests + burstShare(now)
        return window.retries.sum() + 1 <= allowed
    }

    private fun burstShare(now: Timestamp): Double {
        val instanceCount = instances ?: return 0.0
        val fraction = if (now - startedAt < settings.window) settings.firstWindowPart else settings.safety
        return fraction * settings.burst / instanceCount
    }

    private fun index(window: Window) = Math.floorMod(window.slot, RETRY_SLOTS)

    private fun currentWindow(
        now: Timestamp,
        service: ServiceId,
    ): Window {
        val window = windows.getOrPut(service) { Window() }
        val current = Math.floorDiv(now.nanos, slotNanos)
        if (current <= window.slot) return window
        val slots = RETRY_SLOTS.toLong()
        val passed = if (window.slot == Long.MIN_VALUE) slots else minOf(current - window.slot, slots)
        for (age in 0 until passed) {
            val expiredSlot = Math.floorMod(current - age, RETRY_SLOTS)
            window.requests[expiredSlot] = 0
            window.retries[expiredSlot] = 0
        }
        window.slot = current
        return window
    }

    private companion object {
        const val SLOTS = 20

        /** One more than [SLOTS], which cover less than the window while the newest slot is incomplete. */
        const val RETRY_SLOTS = SLOTS + 1
    }
}
