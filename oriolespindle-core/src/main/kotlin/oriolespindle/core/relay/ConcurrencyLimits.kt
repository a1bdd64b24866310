package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of [ConcurrencyLimits]. */
public data class ConcurrencySettings(
    /** The limit of an endpoint that has not answered yet; one path bears about 50 streams for all instances. */
    public val initialLimit: Double = 24.0,
    /** Keeps measuring an endpoint that is far behind. */
    public val minLimit: Double = 2.0,
    public val maxLimit: Double = 400.0,
    /** First events that take longer than this part of the objective lower the limit. */
    public val decreaseAbove: Double = 0.7,
    /** First events that take less than this part of the objective raise the limit. */
    public val increaseBelow: Double = 0.4,
    /** What each stream that begins in time adds; a limit of 8 doubles within 40 streams after a disturbance. */
    public val step: Double = 0.2,
    /** What is left of the limit when it is lowered. */
    public val decreaseFactor: Double = 0.85,
    /** The limit is lowered once for the requests that were in progress together. */
    public val decreaseInterval: Duration = 300.milliseconds,
    /** How long ago a limit may have been lowered to be set back when another endpoint turns out to be the cause. */
    public val maxRestoreAge: Duration = 3.seconds,
)

/**
 * Bounds the streams that this instance has in progress at each first endpoint.
 *
 * A path that has more work than it can do serves all of it late. The limit follows the time to the first event: it
 * grows with each stream that begins in time and shrinks by a factor when they begin late. Each
 * instance finds its own share in this way without knowing the others.
 */
public class ConcurrencyLimits(
    private val settings: ConcurrencySettings = ConcurrencySettings(),
) {
    private class Limit(
        var value: Double,
    ) {
        var inFlight = 0
        var decreasedAt: Timestamp? = null

        /** The value before it was lowered for the first time in a row. */
        var restoreValue = value
    }

    private val limits = HashMap<EndpointId, Limit>()

    /** Returns whether another stream may start at [endpoint]. */
    public fun canStart(endpoint: EndpointId): Boolean = limits[endpoint]?.let { it.inFlight < it.value } ?: true

    /** A stream was sent to [endpoint]. */
    public fun onStreamStarted(endpoint: EndpointId) {
        limit(endpoint).inFlight++
    }

    /** The stream has ended. */
    public fun onStreamEnded(endpoint: EndpointId) {
        val limit = limits[endpoint] ?: return
        limit.inFlight = maxOf(0, limit.inFlight - 1)
    }

    /** Returns whether a first event after [latency] counts as late where [objective] was aimed at. */
    public fun isLate(
        latency: Duration,
        objective: Duration,
    ): Boolean = latency / objective > settings.decreaseAbove

    /** Streams at [endpoint] were late because of another endpoint, which new ones pass by. */
    public fun onDelayedElsewhere(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        val limit = limits[endpoint] ?: return
        val lastDecrease = limit.decreasedAt ?: return
        if (now - lastDecrease < settings.maxRestoreAge) limit.value = maxOf(limit.value, limit.restoreValue)
        limit.decreasedAt = null
    }

    /** The first event of a stream took [latency], or has not come after it, where [objective] was aimed at. */
    public fun onFirstEvent(
        now: Timestamp,
        endpoint: EndpointId,
        latency: Duration,
        objective: Duration,
    ) {
        val limit = limit(endpoint)
        val objectiveFraction = latency / objective
        if (objectiveFraction < settings.increaseBelow) {
            // A limit that is not used up says nothing about a higher one.
            if (limit.inFlight * 2 >= limit.value) limit.value = minOf(settings.maxLimit, limit.value + settings.step)
        } else if (isLate(latency, objective)) {
            decrease(now, limit)
        }
    }

    /** Forgets endpoints that are not in [registered]. */
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
        // What is in flight beyond the limit came before it was lowered; the limit starts from what was in use.
        val inUse = minOf(limit.value, limit.inFlight.toDouble())
        limit.value = maxOf(settings.minLimit, inUse * settings.decreaseFactor)
    }

    private fun limit(endpoint: EndpointId): Limit = limits.getOrPut(endpoint) { Limit(settings.initialLimit) }
}
