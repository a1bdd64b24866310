package oriolespindle.core.placement

import oriolespindle.core.id.LayerRange
import kotlin.time.Duration

/** One kind of accelerator that runs layers of a model. */
public data class Accelerator(
    public val name: String,
    public val memoryMb: Double,
    /** The time of one decoding step relative to [ModelLayout.stepMillis]. */
    public val stepFactor: Double,
    /** The time of a prefill relative to [ModelLayout.prefillTokensPerSecond]. */
    public val prefillFactor: Double,
)

/** The sizes and speeds of a model whose layers are distributed over endpoints; times are for all layers together. */
public data class ModelLayout(
    public val layers: Int,
    public val layerMb: Double,
    /** The memory of one token of a request in one layer, in bytes. */
    public val tokenLayerBytes: Double,
    public val accelerators: Map<String, Accelerator>,
    /** The time of one decoding step without load. */
    public val stepMillis: Double,
    /** The time that each request in its decoding phase adds to a step. */
    public val stepMillisPerRequest: Double,
    public val prefillTokensPerSecond: Double,
    /** The time to load all layers; fewer layers take a proportional share. */
    public val loadTime: Duration,
    /** The number of loads that can run at once without slowing each other down. */
    public val maxConcurrentLoads: Int,
    public val typicalPromptTokens: Int,
    public val typicalAnswerTokens: Int,
) {
    /** Returns whether the model has all layers of [range]; a range of another model or of no model may exceed it. */
    public operator fun contains(range: LayerRange): Boolean = range.end <= layers

    /** Returns the tokens that fit beside [held] layers on [accelerator]; negative if the layers do not fit. */
    public fun tokenCapacity(
        accelerator: Accelerator,
        held: Int,
    ): Double = (accelerator.memoryMb - held * layerMb) * BYTES_PER_MB / (tokenLayerBytes * held)

    /** Returns the most layers beside which [accelerator] has room for [tokens]; 0 if not even one layer fits. */
    public fun maxLayersWithRoom(
        accelerator: Accelerator,
        tokens: Double,
    ): Int = (accelerator.memoryMb / (layerMb + tokens * tokenLayerBytes / BYTES_PER_MB)).toInt().coerceAtMost(layers)

    private companion object {
        const val BYTES_PER_MB = 1e6
    }
}
