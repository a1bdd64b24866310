package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId

/** A stage of a chain: [endpoint] runs [layers], a sub-range of the layers that it holds. */
public data class Stage(
    public val endpoint: EndpointId,
    public val layers: LayerRange,
)

/**
 * Stages that together run every layer of [model] once and in order.
 *
 * @throws IllegalArgumentException if [stages] is empty, does not start at layer 0, or has a gap or an overlap.
 */
public data class Chain(
    public val model: ModelId,
    public val stages: List<Stage>,
) {
    init {
        require(stages.isNotEmpty()) { "chain of model $model has no stages" }
        var boundary = 0
        for (stage in stages) {
            require(stage.layers.first == boundary) {
                "stage ${stage.endpoint} starts at layer ${stage.layers.first}, must start at $boundary"
            }
            boundary = stage.layers.end
        }
    }

    /** The number of layers that the chain runs. */
    public val layers: Int get() = stages.last().layers.end

    /** Returns whether [endpoint] runs a stage of this chain. */
    public operator fun contains(endpoint: EndpointId): Boolean = stages.any { it.endpoint == endpoint }
}

/** A chain and the token rate that the plan assigns to it, in tokens per second. */
public data class PlannedChain(
    public val chain: Chain,
    public val rate: Double,
)

/**
 * A set of chains whose rates add up to [bound], the maximum flow of [topology] in tokens per second.
 *
 * [chains] is empty when no sequence of endpoints covers all layers.
 */
public data class ChainPlan(
    public val bound: Double,
    public val chains: List<PlannedChain>,
    public val topology: Topology,
)
