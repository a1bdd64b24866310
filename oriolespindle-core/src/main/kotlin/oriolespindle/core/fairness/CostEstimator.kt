package oriolespindle.core.fairness

import oriolespindle.core.limit.TokenCost

/**
 * Predicts what the requests of one team cost and keeps account of what was charged.
 *
 * Charging the most that a request may generate and paying it back later would make a team with generous limits wait
 * until its first answers are complete, and then let it take a large credit at once.
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

    /** Returns the charge for a request that starts. */
    fun charge(cost: TokenCost): Double {
        val charge = expectedTokens(cost)
        estimatedInFlight += tokens(cost)
        chargedInFlight += charge
        return charge
    }

    /** Returns what is still to be charged, negative for a credit, for a request that has ended. */
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
