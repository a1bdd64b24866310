package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of [ConcurrencyLimits]. */
public data class ConcurrencySettings(
    /** The limit of an endpoint without measurements, over all instances that use it; each one uses its share. */
    public val initialSharedLimit: Double = 72.0,
    /** The lower bound of a limit; it lets an overloaded endpoint receive enough streams to be measured. */
    public val minLimit: Double = 0.1,
    /** The upper bound of a limit. */
    public val maxLimit: Double = 400.0,
    /** The limit is decreased when a first event takes longer than this fraction of the objective. */
    public val decreaseAbove: Double = 0.7,
    /** The limit is increased when a first event takes less than this fraction of the objective. */
    public val increaseBelow: Double = 0.4,
    /** The increase for each stream that begins in time; a limit of 8 doubles within 40 streams after a disturbance. */
    public val step: Double = 0.2,
    /** The factor by which the limit is multiplied when it is decreased. */
    public val decreaseFactor: Double = 0.85,
    /** The minimum time between two decreases, so that requests that were in flight together cause a single one. */
    public val decreaseInterval: Duration = 300.milliseconds,
    /** The age up to which a decrease is undone when another endpoint turns out to be the cause of the delay. */
    public val maxRestoreAge: Duration = 3.seconds,
    /** The longest time without streams at an endpoint that was overloaded; it may have recovered by then. */
    public val maxPause: Duration = 2.seconds,
)

/**
 * Limits the streams that this instance has in flight at the first endpoint of each path.
 *
 * An overloaded path serves all of its streams late. The limit follows the time to the first event by additive increase
 * and multiplicative decrease: it grows with each stream that begins in time and shrinks by a factor when streams begin
 * late. In this way each instance converges to its share of an endpoint without communicating with the others. Until an
 * endpoint is measured, each instance uses its part of a shared limit: with many instances, each sees too few streams
 * to learn in time, and the sum of limits that are meant for a few instances would overload every path.
 *
 * A limit below 1 is the fraction of the time in which a stream may be in flight: the next one may start once the
 * endpoint has been left alone for long enough. Without it, many instances could not share a path that has room for
 * fewer streams than there are instances.
 */
public class ConcurrencyLimits(
    private val settings: ConcurrencySettings = ConcurrencySettings(),
) {
    private inner class Limit {
        var measured: Double? = null
        val value: Double get() = measured ?: initialLimit
        var inFlight = 0
        var decreasedAt: Timestamp? = null
        private var startedAt = Timestamp.ZERO
        private var pausedUntil = Timestamp.ZERO

        fun canStart(now: Timestamp): Boolean =
            if (value >= 1) inFlight < value else inFlight == 0 && now >= pausedUntil

        fun onStarted(now: Timestamp) {
            if (inFlight++ == 0) startedAt = now
        }

        fun onEnded(now: Timestamp) {
            inFlight = maxOf(0, inFlight - 1)
            if (inFlight == 0 &&
                value < 1
            ) {
                pausedUntil = now + minOf((now - startedAt) * (1 / value - 1), settings.maxPause)
            }
        }

        /** The value before the first of a series of decreases. */
        var restoreValue = 0.0
    }

    private val limits = HashMap<EndpointId, Limit>()

    /** The number of instances that start streams at the same endpoints, at least 1. */
    public var instances: Int = ASSUMED_INSTANCES
        set(value) {
            field = value.coerceAtLeast(1)
        }

    private val initialLimit: Double get() = maxOf(settings.minLimit, settings.initialSharedLimit / instances)

    /** Returns whether another stream may start at [endpoint]. */
    public fun canStart(
        now: Timestamp,
        endpoint: EndpointId,
    ): Boolean = limits[endpoint]?.canStart(now) ?: true

    /** Records that a stream was sent to [endpoint]. */
    public fun onStreamStarted(
        now: Timestamp,
        endpoint: EndpointId,
    ): Unit = limit(endpoint).onStarted(now)

    /** Records that a stream at [endpoint] has ended. */
    public fun onStreamEnded(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        limits[endpoint]?.onEnded(now)
    }

    /** Returns whether a first event after [latency] is late with respect to [objective]. */
    public fun isLate(
        latency: Duration,
        objective: Duration,
    ): Boolean = latency / objective > settings.decreaseAbove

    /** Undoes a recent decrease: streams at [endpoint] were late because of another endpoint, which new ones avoid. */
    public fun onDelayedElsewhere(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        val limit = limits[endpoint] ?: return
        val lastDecrease = limit.decreasedAt ?: return
        if (now - lastDecrease < settings.maxRestoreAge) limit.measured = maxOf(limit.value, limit.restoreValue)
        limit.decreasedAt = null
    }

    /** Adjusts the limit after a first event that took [latency], or that has not arrived within it. */
    public fun onFirstEvent(
        now: Timestamp,
        endpoint: EndpointId,
        latency: Duration,
        objective: Duration,
    ) {
        val limit = limit(endpoint)
        val objectiveFraction = latency / objective
        if (objectiveFraction < settings.increaseBelow) {
            // In-time streams justify a higher limit only if at least half of the current one is in use.
            if (limit.inFlight * 2 >=
                limit.value
            ) {
                limit.measured = minOf(settings.maxLimit, limit.value + settings.step)
            }
        } else if (isLate(latency, objective)) {
            decrease(now, limit)
        }
    }

    /** Removes the limits of endpoints that are not in [registered] and have no streams in flight. */
    public fun retain(registered: Set<EndpointId>) {
        limits.entries.removeIf { (id, limit) -> id !in registered && limit.inFlight == 0 }
    }

    private fun decrease(
        now: Timestamp,
        limit: Limit,
    ) {
        val previous = limit.decreasedAt
        if (previous != null && now - previous < settings.decreaseInterval) return
        if (previous == null || now - previous > settings.maxRestoreAge) limit.restoreValue = limit.value
        limit.decreasedAt = now
        // Streams in flight beyond the limit started before it was decreased; the base is the used part of the limit.
        val inUse = minOf(limit.value, limit.inFlight.toDouble())
        limit.measured = maxOf(settings.minLimit, inUse * settings.decreaseFactor)
    }

    private fun limit(endpoint: EndpointId): Limit = limits.getOrPut(endpoint) { Limit() }

    private companion object {
        /** Assumed until the instances are counted. */
        const val ASSUMED_INSTANCES = 3
    }
}
