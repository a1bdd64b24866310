package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.ZoneId
import kotlin.time.Duration

/** A model and its number of layers. */
public data class ModelSpec(
    public val id: ModelId,
    public val layers: Int,
) {
    init {
        require(layers > 0) { "model $id has $layers layers, must have at least one" }
    }
}

/**
 * A server that holds a range of layers of one model.
 *
 * [tokensPerSecond] is the rate at which it passes tokens through the layers it runs. The same rate is assumed when it
 * runs only a sub-range of [layers], so that a plan never exceeds the rate that was measured for the server.
 */
public data class EndpointSpec(
    public val id: EndpointId,
    public val address: String,
    public val zone: ZoneId,
    public val model: ModelId,
    public val layers: LayerRange,
    public val tokensPerSecond: Double,
    public val accelerator: String,
)

/** The measured capacity and one-way latency of the link from one endpoint to another. */
public data class LinkSpec(
    public val from: EndpointId,
    public val to: EndpointId,
    public val tokensPerSecond: Double,
    public val latency: Duration,
)

/** The capacity and one-way latency assumed for a link that no [LinkSpec] describes. */
public data class LinkRate(
    public val tokensPerSecond: Double,
    public val latency: Duration,
)

/**
 * The endpoints of one model and the links between them.
 *
 * [defaultLink] returns the rate of a link that is not in [links]. Endpoints of other models, and endpoints whose range
 * ends after the last layer of [model], are never planned.
 */
public data class Topology(
    public val model: ModelSpec,
    public val endpoints: List<EndpointSpec>,
    public val links: List<LinkSpec>,
    public val defaultLink: (EndpointSpec, EndpointSpec) -> LinkRate,
)

/** A change of a topology; the model remains the same. */
public sealed interface TopologyChange {
    /** [endpoint] joins with measured [links] from and to it; an endpoint with the same id is replaced. */
    public data class EndpointJoined(
        public val endpoint: EndpointSpec,
        public val links: List<LinkSpec> = emptyList(),
    ) : TopologyChange

    /** [endpoint] leaves; an unknown one is ignored. */
    public data class EndpointLeft(
        public val endpoint: EndpointId,
    ) : TopologyChange

    /** [endpoint] now sustains [tokensPerSecond]; an unknown one is ignored. */
    public data class EndpointRate(
        public val endpoint: EndpointId,
        public val tokensPerSecond: Double,
    ) : TopologyChange

    /** [link] now has this capacity and latency; a link of an unknown endpoint is kept until it joins. */
    public data class LinkChanged(
        public val link: LinkSpec,
    ) : TopologyChange
}
