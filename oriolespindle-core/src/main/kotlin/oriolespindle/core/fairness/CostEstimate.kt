package oriolespindle.core.fairness

import oriolespindle.core.limit.TokenCost

/**
 * Predicts what the requests of one team cost and keeps account of what was charged.
 *
 * Charging the most that a request may generate and paying it back later would make a team with generous limits wait
 * until its first answers are complete, and then let it take a large credit at once.
 */
internal class CostEstimate(
    private val minimumTokens: Int,
) {
    private var ratio = 1.0
    private var samples = 0
    private var estimatedInFlight = 0L
    private var chargedInFlight = 0.0

    fun expected(cost: TokenCost): Double = maxOf(minimumTokens.toDouble(), cost.prompt + cost.generated * ratio)

    /** Returns the charge for a request that starts. */
    fun charge(cost: TokenCost): Double {
        val charge = expected(cost)
        estimatedInFlight += tokens(cost)
        chargedInFlight += charge
        return charge
    }

    /** Returns what is still to be charged, negative for a credit, for a request that has ended. */
    fun settle(
        estimated: TokenCost,
        actual: TokenCost,
    ): Double {
        learn(estimated, actual)
        val weight = tokens(estimated).coerceAtMost(estimatedInFlight)
        val charged = if (weight == 0L) 0.0 else chargedInFlight * weight / estimatedInFlight
        estimatedInFlight -= weight
        chargedInFlight -= charged
        return if (weight == 0L) 0.0 else tokens(actual) - charged
    }

    private fun tokens(cost: TokenCost): Long = maxOf(minimumTokens.toLong(), cost.total)

    private fun learn(
        estimated: TokenCost,
        actual: TokenCost,
    ) {
        if (estimated.generated == 0) return
        samples = (samples + 1).coerceAtMost(MEMORY)
        ratio += (actual.generated.toDouble() / estimated.generated - ratio) / samples
    }

    private companion object {
        const val MEMORY = 32
    }
}
