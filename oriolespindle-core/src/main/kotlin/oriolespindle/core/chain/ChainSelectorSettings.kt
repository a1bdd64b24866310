package oriolespindle.core.chain

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of a [ChainSelector]. */
public data class ChainSelectorSettings(
    /** How many chains are sampled and compared for a request. */
    val candidates: Int = 4,
    /** The cost of a prompt token relative to a generated one; prompts are computed in large batches. */
    val promptTokenCost: Double = 0.1,
    /** The part of a prompt that is expected in the cache of the chain that its prefix prefers. */
    val cachedShare: Double = 0.8,
    /** A preferred chain is passed over when its load exceeds the mean of all chains by this factor. */
    val affinityLoadFactor: Double = 1.25,
    /** Latency added for each token when the first or the last stage is in another zone than the caller. */
    val crossZoneLatency: Duration = 500.microseconds,
    /** The part of a lower-priority session that delays a request; engines serve higher priorities first. */
    val lowerPriorityShare: Double = 0.25,
    /** The session time assumed until sessions were timed; a report's counts give way to their mean over it. */
    val initialSessionTime: Duration = 5.seconds,
    /** Reports older than this, and own work before it, are not considered. */
    val maxReportAge: Duration = 30.seconds,
) {
    init {
        require(candidates > 0) { "candidates is $candidates, must be positive" }
        require(affinityLoadFactor >= 1) { "affinityLoadFactor is $affinityLoadFactor, must be at least 1" }
    }
}
