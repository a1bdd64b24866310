package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** The current latency of one link: the smoothed observations while they are recent, otherwise that of [rate]. */
internal class LinkState(
    val rate: LinkRate,
    private val maxObservationAge: Duration,
) {
    private var smoothedNanos = Double.NaN
    private var observedAt = Timestamp.ZERO

    fun observe(
        now: Timestamp,
        latency: Duration,
    ) {
        val nanos = latency.inWholeNanoseconds.toDouble()
        smoothedNanos = if (isRecent(now)) smoothedNanos + OBSERVATION_SMOOTHING * (nanos - smoothedNanos) else nanos
        observedAt = now
    }

    fun latency(now: Timestamp): Duration = if (isRecent(now)) smoothedNanos.nanoseconds else rate.latency

    fun isDegraded(now: Timestamp): Boolean = latency(now) > rate.latency * DEGRADED_FACTOR

    private fun isRecent(now: Timestamp): Boolean = !smoothedNanos.isNaN() && now - observedAt <= maxObservationAge

    private companion object {
        /** The smoothing factor; two observations of a degraded link outweigh all earlier observations. */
        const val OBSERVATION_SMOOTHING = 0.5

        /** Links of one fleet differ by a factor of 100; a tenth of that exceeds the usual variation of one link. */
        const val DEGRADED_FACTOR = 10
    }
}

/** The states of the links of one topology, by the endpoints that they connect. */
internal class LinkStates(
    private val settings: ChainSelectorSettings,
) {
    private val states = HashMap<Pair<EndpointId, EndpointId>, LinkState>()
    private var topology: Topology? = null
    private var specs = emptyMap<Pair<EndpointId, EndpointId>, LinkSpec>()

    fun setTopology(topology: Topology) {
        val links = topology.links.associateBy { it.from to it.to }
        if (links != specs) states.clear()
        specs = links
        this.topology = topology
    }

    fun get(
        from: EndpointSpec,
        to: EndpointSpec,
    ): LinkState = states.getOrPut(from.id to to.id) { LinkState(plannedRate(from, to), settings.maxReportAge) }

    private fun plannedRate(
        from: EndpointSpec,
        to: EndpointSpec,
    ): LinkRate {
        val measured = specs[from.id to to.id] ?: return checkNotNull(topology).defaultLink(from, to)
        return LinkRate(measured.tokensPerSecond, measured.latency)
    }
}
