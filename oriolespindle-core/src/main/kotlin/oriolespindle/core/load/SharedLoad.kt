package oriolespindle.core.load

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.placement.Accelerator
import oriolespindle.core.placement.LayerPath
import oriolespindle.core.placement.ModelLayout
import oriolespindle.core.time.Timestamp
import kotlin.math.roundToLong
import kotlin.time.Duration

/**
 * The load of endpoints: this instance's own requests, the reports of its peers and the sums of other zones.
 *
 * The load of an endpoint is its tokens times the layers that run them. An instance of the zone without a valid report
 * counts as the mean of the others and this one. Without any report the load is the own one times the number of
 * instances.
 */
public class SharedLoad(
    private val settings: LoadSettings = LoadSettings(),
) {
    /** The load of one endpoint; all of it in one place, since it is read for each endpoint and request. */
    private class EndpointLoad {
        var ownTokens = 0L
        var peerTokens = 0L
        var otherZoneTokens = 0L
        var ownStreams = 0L
        var peerStreams = 0L
        val zoneTokens get() = ownTokens + peerTokens
        val isEmpty get() = zoneTokens == 0L && otherZoneTokens == 0L && ownStreams == 0L && peerStreams == 0L
    }

    private val loads = HashMap<EndpointId, EndpointLoad>()
    private var ownTotal = 0L
    private var peerTotal = 0L
    private val sequences = HashMap<InstanceId, Long>()
    private val peerTokens =
        ReportedLoad<InstanceId> { endpoint, value ->
            peerTotal += value
            change(endpoint) { peerTokens += value }
        }
    private val peerStreams = ReportedLoad<InstanceId> { id, value -> change(id) { peerStreams += value } }
    private val otherZones = ReportedLoad<ZoneId> { id, value -> change(id) { otherZoneTokens += value } }
    private val zoneSequences = HashMap<ZoneId, Pair<InstanceId, Long>>()

    /** The number of instances in this instance's zone, at least 1. */
    public var instances: Int = 1
        set(value) {
            field = value.coerceAtLeast(1)
        }

    /** The other instances of the zone with a valid report. */
    public val reportingPeers: Int get() = peerTokens.sources.size

    /** The tokens times layers of this instance's requests at each endpoint. */
    public val ownTokens: Map<EndpointId, Long> get() = loads.mapValues { it.value.ownTokens }.filterValues { it > 0 }

    /** This instance's streams in progress by the first endpoint of their paths. */
    public val ownStreams: Map<EndpointId, Long> get() = loads.mapValues { it.value.ownStreams }.filterValues { it > 0 }

    /** The factor that adds the estimate for the instances without a valid report. */
    private val missingFactor: Double
        get() = (instances.toDouble() / (reportingPeers + 1)).coerceAtLeast(1.0)

    /** Adds a request of [tokens] tokens to the endpoints of [path]. */
    public fun onRequestStarted(
        path: LayerPath,
        tokens: Int,
    ): Unit = add(path, tokens, sign = 1)

    /** Removes a request that was added with the same arguments. */
    public fun onRequestEnded(
        path: LayerPath,
        tokens: Int,
    ): Unit = add(path, tokens, sign = -1)

    /** Replaces the load of the sender of [report], unless a newer one has arrived. */
    public fun onReport(
        now: Timestamp,
        report: LoadReport,
    ) {
        if (report.sequence <= (sequences[report.from] ?: 0)) return
        sequences[report.from] = report.sequence
        val validity = settings.validity(instances - 1, report.isEmpty)
        peerTokens.put(now, report.from, report.tokens, validity)
        peerStreams.put(now, report.from, report.streams, validity)
    }

    /** Replaces the load of the zone of [report], unless a newer one of the same sender has arrived. */
    public fun onZoneReport(
        now: Timestamp,
        report: ZoneLoadReport,
    ) {
        val last = zoneSequences[report.zone]
        if (last != null && last.first == report.from && report.sequence <= last.second) return
        zoneSequences[report.zone] = report.from to report.sequence
        otherZones.put(now, report.zone, report.tokens, settings.zoneValidity)
    }

    /** Removes reports that are no longer valid; must be called at least once per interval. */
    public fun removeExpired(now: Timestamp) {
        peerTokens.removeExpired(now)
        peerStreams.removeExpired(now)
        otherZones.removeExpired(now)
        sequences.keys.retainAll(peerTokens.sources)
        zoneSequences.keys.retainAll(otherZones.sources)
    }

    /** Removes all reports, so that only the own load counts. */
    public fun forgetReports() {
        peerTokens.clear()
        peerStreams.clear()
        otherZones.clear()
        sequences.clear()
        zoneSequences.clear()
    }

    /** Whether the load that the instances of [zone] cause is known. */
    public fun isKnown(zone: ZoneId): Boolean = zone in otherZones.sources

    /** Returns the peers whose reports have arrived recently. */
    public fun peersHeard(now: Timestamp): Set<InstanceId> {
        // In a large zone reports are further apart than the timeout; every instance would send the sum.
        val validity = settings.validity(instances - 1, isEmpty = false)
        return peerTokens.heardWithin(now, maxOf(settings.senderTimeout, validity))
    }

    /** Returns the age of the oldest valid report of a peer; null if there is none. */
    public fun oldestReportAge(now: Timestamp): Duration? = peerTokens.oldest?.let { now - it }

    /** Returns the load that the instances of this zone cause at all endpoints. */
    public fun zoneTokens(): Map<EndpointId, Long> =
        loads.filterValues { it.zoneTokens > 0 }.mapValues { (_, load) ->
            (load.zoneTokens * missingFactor).roundToLong()
        }

    /** Returns the streams in progress of the zone's instances whose paths begin at [endpoint]. */
    public fun streams(endpoint: EndpointId): Double =
        (loads[endpoint]?.let { it.ownStreams + it.peerStreams } ?: 0) * missingFactor

    /** Returns the used fraction of [endpoint]'s memory for requests. */
    public fun utilization(
        model: ModelLayout,
        accelerator: Accelerator,
        endpoint: EndpointId,
        layers: Int,
    ): Double {
        val capacity = model.tokenCapacity(accelerator, layers) * layers
        if (capacity <= 0) return 1.0
        val load = loads[endpoint] ?: return 0.0
        return (load.zoneTokens * missingFactor + load.otherZoneTokens) / capacity
    }

    /**
     * Returns the factor by which [endpoint]'s load is weighed for the choice between endpoints of one zone.
     *
     * All instances see the same endpoint as the least loaded until the next reports and would choose it together.
     * Each one therefore balances its own requests too: their distribution, scaled to the load of the zone, counts with
     * [LoadSettings.ownWeight]. A weight above one half keeps the answer to old reports smaller than their deviations.
     */
    public fun choiceFactor(endpoint: EndpointId): Double {
        val load = loads[endpoint] ?: return 1.0
        if (load.zoneTokens <= 0 || ownTotal <= 0) return 1.0
        val scale = (ownTotal + peerTotal).toDouble() / ownTotal
        return 1 - settings.ownWeight + settings.ownWeight * scale * load.ownTokens / load.zoneTokens
    }

    private fun add(
        path: LayerPath,
        count: Int,
        sign: Int,
    ) {
        for (part in path.parts) {
            val value = sign * count.toLong() * part.layers.size
            ownTotal += value
            change(part.endpoint.id) { ownTokens += value }
        }
        change(path.first.id) { ownStreams += sign }
    }

    private inline fun change(
        endpoint: EndpointId,
        action: EndpointLoad.() -> Unit,
    ) {
        val load = loads.getOrPut(endpoint) { EndpointLoad() }
        load.action()
        if (load.isEmpty) loads.remove(endpoint)
    }
}
