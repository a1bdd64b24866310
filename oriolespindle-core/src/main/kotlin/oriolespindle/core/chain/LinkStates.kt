package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** The latency of one link: that of [rate], or the smoothed observations while they are recent. */
internal class LinkState(
    val rate: LinkRate,
    private val horizon: Duration,
) {
    private var observed = Double.NaN
    private var observedAt = Timestamp.ZERO

    fun observe(
        now: Timestamp,
        latency: Duration,
    ) {
        val nanos = latency.inWholeNanoseconds.toDouble()
        observed = if (isRecent(now)) observed + OBSERVATION_SHARE * (nanos - observed) else nanos
        observedAt = now
    }

    fun latency(now: Timestamp): Duration = if (isRecent(now)) observed.nanoseconds else rate.latency

    fun isDegraded(now: Timestamp): Boolean = latency(now) > rate.latency * DEGRADED_FACTOR

    private fun isRecent(now: Timestamp): Boolean = !observed.isNaN() && now - observedAt <= horizon

    private companion object {
        /** Two observations of a degraded link outweigh any number of earlier ones. */
        const val OBSERVATION_SHARE = 0.5

        /** Links of one fleet differ 100 times; a tenth of that is beyond the usual variation of one link. */
        const val DEGRADED_FACTOR = 10
    }
}

/** The links of one topology by their ends. */
internal class LinkStates(
    private val settings: ChainSelectorSettings,
) {
    private val states = HashMap<Pair<EndpointId, EndpointId>, LinkState>()
    private var topology: Topology? = null
    private var specs = emptyMap<Pair<EndpointId, EndpointId>, LinkSpec>()

    fun plan(topology: Topology) {
        val links = topology.links.associateBy { it.from to it.to }
        if (links != specs) states.clear()
        specs = links
        this.topology = topology
    }

    fun get(
        from: EndpointSpec,
        to: EndpointSpec,
    ): LinkState = states.getOrPut(from.id to to.id) { LinkState(plannedRate(from, to), settings.reportHorizon) }

    private fun plannedRate(
        from: EndpointSpec,
        to: EndpointSpec,
    ): LinkRate {
        val measured = specs[from.id to to.id] ?: return checkNotNull(topology).defaultLink(from, to)
        return LinkRate(measured.tokensPerSecond, measured.latency)
    }
}
