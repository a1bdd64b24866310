package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The settings of [EndpointSelector]. */
public data class SelectorSettings(
    /** The cost of a request to another zone beside the endpoint's own latency: the round trip and its bytes. */
    public val otherZonePenalty: Duration = 5.milliseconds,
    /** The latency that is assumed for an endpoint without recent answers. */
    public val initialLatency: Duration = 20.milliseconds,
    /** The weight of the newest answer in the moving averages of an endpoint's latency and failure rate. */
    public val smoothingFactor: Double = 0.2,
    /** The relative increase of an endpoint's cost at a failure rate of 1. */
    public val failurePenalty: Double = 5.0,
    /** How long statistics are used without new answers; a slow or failing endpoint is tried again afterwards. */
    public val statsTtl: Duration = 2_000.milliseconds,
)

/** Chooses an endpoint of a plain service: prefers the own zone and avoids slow, failing and busy endpoints. */
public class EndpointSelector(
    private val zone: ZoneId,
    private val settings: SelectorSettings = SelectorSettings(),
) {
    private class EndpointStats {
        var inFlight = 0
        var latencyMillis: Double? = null
        var failureRate = 0.0
        var answeredAt = Timestamp.ZERO
    }

    private val statsByEndpoint = HashMap<EndpointId, EndpointStats>()

    /** Returns the cheapest of [candidates] that is not in [avoid], or null if there is none. */
    public fun choose(
        now: Timestamp,
        candidates: List<RelayEndpoint>,
        avoid: Set<EndpointId>,
    ): RelayEndpoint? = candidates.filter { it.id !in avoid }.minByOrNull { cost(now, it) }

    /** Records that a request was sent to [endpoint]. */
    public fun onRequestStarted(endpoint: EndpointId) {
        statsByEndpoint.getOrPut(endpoint) { EndpointStats() }.inFlight++
    }

    /** Records that a request to [endpoint] ended after [latency]; [failed] tells whether the endpoint failed it. */
    public fun onRequestEnded(
        now: Timestamp,
        endpoint: EndpointId,
        latency: Duration,
        failed: Boolean,
    ) {
        val stats = statsByEndpoint[endpoint] ?: return
        stats.inFlight--
        val millis = latency.inWholeMicroseconds / MICROS_PER_MILLI
        val mean = stats.latencyMillis ?: millis
        stats.latencyMillis = mean + settings.smoothingFactor * (millis - mean)
        stats.failureRate += settings.smoothingFactor * ((if (failed) 1.0 else 0.0) - stats.failureRate)
        stats.answeredAt = now
    }

    /** Removes the statistics of endpoints that are not in [registered] and have no requests in flight. */
    public fun retain(registered: Set<EndpointId>) {
        statsByEndpoint.entries.removeIf { (id, stats) -> id !in registered && stats.inFlight == 0 }
    }

    private fun cost(
        now: Timestamp,
        endpoint: RelayEndpoint,
    ): Double {
        val stats = statsByEndpoint[endpoint.id]
        val initial = settings.initialLatency.inWholeMilliseconds.toDouble()
        val isFresh = stats != null && now - stats.answeredAt < settings.statsTtl
        val latency = if (isFresh) stats?.latencyMillis ?: initial else initial
        val failures = if (isFresh) stats?.failureRate ?: 0.0 else 0.0
        val queue = (stats?.inFlight ?: 0).toDouble() / endpoint.slots.coerceAtLeast(1)
        val zonePenalty = if (endpoint.zone == zone) 0.0 else settings.otherZonePenalty.inWholeMilliseconds.toDouble()
        return latency * (1 + queue) * (1 + settings.failurePenalty * failures) + zonePenalty
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000.0
    }
}
