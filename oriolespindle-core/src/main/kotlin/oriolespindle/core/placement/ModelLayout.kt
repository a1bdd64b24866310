package oriolespindle.core.placement

import kotlin.time.Duration

/** One kind of accelerator that runs layers of a model. */
public data class Accelerator(
    public val name: String,
    public val memoryMb: Double,
    /** The time of one token step relative to the model's reference. */
    public val stepFactor: Double,
    /** The time of reading prompts relative to the model's reference. */
    public val prefillFactor: Double,
)

/** The sizes and speeds of a model whose layers are spread over endpoints; times are those of all layers together. */
public data class ModelLayout(
    public val layers: Int,
    public val layerMb: Double,
    /** Memory of one token of a request in one layer. */
    public val tokenLayerBytes: Double,
    public val accelerators: Map<String, Accelerator>,
    /** One token step without requests. */
    public val stepMillis: Double,
    /** What each writing request adds to a step. */
    public val stepMillisPerRequest: Double,
    public val prefillTokensPerSecond: Double,
    /** The time to load all layers; a part takes its share. */
    public val loadTime: Duration,
    /** Loads that run at once without slowing each other down. */
    public val maxConcurrentLoads: Int,
    public val typicalPromptTokens: Int,
    public val typicalAnswerTokens: Int,
) {
    /** Returns the tokens of requests that fit beside [held] layers on [accelerator]; negative if the layers do not. */
    public fun tokenCapacity(
        accelerator: Accelerator,
        held: Int,
    ): Double = (accelerator.memoryMb - held * layerMb) * BYTES_PER_MB / (tokenLayerBytes * held)

    /** Returns the most layers beside which [accelerator] has room for [tokens], 0 if not even one fits. */
    public fun maxLayersWithRoom(
        accelerator: Accelerator,
        tokens: Double,
    ): Int = (accelerator.memoryMb / (layerMb + tokens * tokenLayerBytes / BYTES_PER_MB)).toInt().coerceAtMost(layers)

    private companion object {
        const val BYTES_PER_MB = 1e6
    }
}
