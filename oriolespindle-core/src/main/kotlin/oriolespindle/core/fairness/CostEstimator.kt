package oriolespindle.core.fairness

import oriolespindle.core.limit.TokenCost

/**
 * Estimates the cost of a team's requests and tracks the charges of those in flight.
 *
 * Charging the maximum that a request may generate and refunding the rest later would make a team with high limits wait
 * until its first answers are complete, and then grant it a large credit at once.
 */
internal class CostEstimator(
    private val minTokens: Int,
) {
    private var generatedRatio = 1.0
    private var samples = 0
    private var estimatedInFlight = 0L
    private var chargedInFlight = 0.0

    fun expectedTokens(cost: TokenCost): Double =
        maxOf(minTokens.toDouble(), cost.prompt + cost.generated * generatedRatio)

    /** Charges a request that starts and returns the charge. */
    fun charge(cost: TokenCost): Double {
        val charge = expectedTokens(cost)
        estimatedInFlight += tokens(cost)
        chargedInFlight += charge
        return charge
    }

    /** Settles a request that has ended and returns the correction of its charge, negative for a refund. */
    fun settle(
        estimated: TokenCost,
        actual: TokenCost,
    ): Double {
        updateRatio(estimated, actual)
        val weight = tokens(estimated).coerceAtMost(estimatedInFlight)
        val charged = if (weight == 0L) 0.0 else chargedInFlight * weight / estimatedInFlight
        estimatedInFlight -= weight
        chargedInFlight -= charged
        return if (weight == 0L) 0.0 else tokens(actual) - charged
    }

    private fun tokens(cost: TokenCost): Long = maxOf(minTokens.toLong(), cost.total)

    private fun updateRatio(
        estimated: TokenCost,
        actual: TokenCost,
    ) {
        if (estimated.generated == 0) return
        samples = (samples + 1).coerceAtMost(MAX_SAMPLES)
        generatedRatio += (actual.generated.toDouble() / estimated.generated - generatedRatio) / samples
    }

    private companion object {
        const val MAX_SAMPLES = 32
    }
}
