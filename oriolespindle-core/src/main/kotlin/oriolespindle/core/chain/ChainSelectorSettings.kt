package oriolespindle.core.chain

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of a [ChainSelector]. */
public data class ChainSelectorSettings(
    /** The number of chains that are sampled and compared for each request. */
    val candidates: Int = 4,
    /** The cost of a prompt token relative to a generated one; low because prompts are computed in large batches. */
    val promptTokenCost: Double = 0.1,
    /** The part of a prompt that is expected to be cached at the chain preferred for its prefix. */
    val cachedShare: Double = 0.8,
    /** A preferred chain is skipped when its load exceeds the mean load of all chains by this factor. */
    val affinityLoadFactor: Double = 1.25,
    /** Latency added per token for each of the first and last stage that is in another zone than the caller. */
    val crossZoneLatency: Duration = 500.microseconds,
    /** The weight of a session of lower priority in the load; engines serve higher priorities first. */
    val lowerPriorityShare: Double = 0.25,
    /**
     * The mean session time that is assumed before the first session finishes.
     *
     * The session counts of a load report decay to their mean over one mean session time.
     */
    val initialSessionTime: Duration = 5.seconds,
    /** Load reports, link observations and counts of the instance's own sessions older than this are ignored. */
    val maxReportAge: Duration = 30.seconds,
) {
    init {
        require(candidates > 0) { "candidates is $candidates, must be positive" }
        require(affinityLoadFactor >= 1) { "affinityLoadFactor is $affinityLoadFactor, must be at least 1" }
    }
}
