package oriolespindle.core.stream

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.ChainSelector
import oriolespindle.core.chain.Stage
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates how long the stages of a chain take to restore the KV cache of all tokens so far.
 *
 * A stage that recomputes its cache needs the activations of every token, so each stage before it also runs all tokens
 * again, even if it keeps its own cache. Stages compute and import in parallel, so the slowest one determines the time.
 */
internal class CacheEstimate(
    private val settings: RecoverySettings,
    private val now: Timestamp,
    private val failure: StageFailure,
    private val selector: ChainSelector,
) {
    private val tokens = failure.query.promptTokens + failure.delivered

    fun restoreTime(
        chain: Chain,
        cache: List<StageCache>,
    ): Duration {
        val lastRecomputed = cache.indexOfLast { it == StageCache.Recompute }
        return chain.stages
            .mapIndexed { i, stage -> maxOf(prefill(stage, i <= lastRecomputed), import(stage, cache[i])) }
            .max()
    }

    private fun prefill(
        stage: Stage,
        mustRun: Boolean,
    ): Duration {
        if (!mustRun) return Duration.ZERO
        return selector.stageTime(now, failure.query, stage.endpoint) * (tokens * settings.prefillTokenCost)
    }

    private fun import(
        stage: Stage,
        cache: StageCache,
    ): Duration {
        if (cache !is StageCache.Import) return Duration.ZERO
        val link = selector.linkRate(cache.from, stage.endpoint) ?: return Duration.INFINITE
        val size = tokens * stage.layers.size * settings.cacheSizePerLayer
        return link.latency + (size / link.tokensPerSecond).seconds
    }
}
