package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The weights of [EndpointSelector]. */
public data class SelectorSettings(
    /** What a request to another zone costs beside the endpoint's own time: both ways and its bytes. */
    public val otherZone: Duration = 5.milliseconds,
    /** Assumed until an endpoint has answered once. */
    public val firstLatency: Duration = 20.milliseconds,
    /** The weight of the newest answer in the running mean of an endpoint's latency. */
    public val smoothing: Double = 0.2,
    /** How much a failed answer counts against an endpoint, in answers that take the objective's time. */
    public val failurePenalty: Double = 5.0,
    /** After this time without answers a slow or failing endpoint is tried again. */
    public val forgetAfter: Duration = 2_000.milliseconds,
)

/** Chooses the endpoint of a plain service: the own zone first, and away from slow, failing and busy ones. */
public class EndpointSelector(
    private val zone: ZoneId,
    private val settings: SelectorSettings = SelectorSettings(),
) {
    private class Record {
        var inFlight = 0
        var latencyMillis: Double? = null
        var failureShare = 0.0
        var answeredAt = Timestamp.ZERO
    }

    private val records = HashMap<EndpointId, Record>()

    /** Returns the best of [candidates] without [avoid], or null; if only avoided ones are left, none is chosen. */
    public fun choose(
        now: Timestamp,
        candidates: List<RelayEndpoint>,
        avoid: Set<EndpointId>,
    ): RelayEndpoint? = candidates.filter { it.id !in avoid }.minByOrNull { cost(now, it) }

    /** A request was sent to [endpoint]. */
    public fun onRequestStarted(endpoint: EndpointId) {
        records.getOrPut(endpoint) { Record() }.inFlight++
    }

    /** A request to [endpoint] ended after [latency]; [failed] tells whether the endpoint failed it. */
    public fun onRequestEnded(
        now: Timestamp,
        endpoint: EndpointId,
        latency: Duration,
        failed: Boolean,
    ) {
        val record = records[endpoint] ?: return
        record.inFlight--
        val millis = latency.inWholeMicroseconds / MICROS_PER_MILLI
        val mean = record.latencyMillis ?: millis
        record.latencyMillis = mean + settings.smoothing * (millis - mean)
        record.failureShare += settings.smoothing * ((if (failed) 1.0 else 0.0) - record.failureShare)
        record.answeredAt = now
    }

    /** Forgets endpoints that are not in [registered]. */
    public fun retain(registered: Set<EndpointId>) {
        records.entries.removeIf { (id, record) -> id !in registered && record.inFlight == 0 }
    }

    private fun cost(
        now: Timestamp,
        endpoint: RelayEndpoint,
    ): Double {
        val record = records[endpoint.id]
        val first = settings.firstLatency.inWholeMilliseconds.toDouble()
        val known = record != null && now - record.answeredAt < settings.forgetAfter
        val latency = if (known) record?.latencyMillis ?: first else first
        val failures = if (known) record?.failureShare ?: 0.0 else 0.0
        val queue = (record?.inFlight ?: 0).toDouble() / endpoint.slots.coerceAtLeast(1)
        val away = if (endpoint.zone == zone) 0.0 else settings.otherZone.inWholeMilliseconds.toDouble()
        return latency * (1 + queue) * (1 + settings.failurePenalty * failures) + away
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000.0
    }
}
