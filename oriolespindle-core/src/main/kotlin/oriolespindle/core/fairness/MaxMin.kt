package oriolespindle.core.fairness

import oriolespindle.core.id.TeamId

/** Weighted max-min fair division of a capacity. */
internal object MaxMin {
    /**
     * Returns each team's share of [capacity]: its full demand, or a share proportional to its weight if it demands
     * more. Capacity that teams with less demand leave is divided in the same way. A team without a weight has weight
     * 1.
     */
    fun divide(
        capacity: Double,
        demands: Map<TeamId, Double>,
        weights: Map<TeamId, Double>,
    ): Map<TeamId, Double> {
        val shares = mutableMapOf<TeamId, Double>()
        var remaining = capacity
        var remainingWeight = demands.keys.sumOf { weights[it] ?: 1.0 }
        for ((team, demand) in demands.entries.sortedBy { it.value / (weights[it.key] ?: 1.0) }) {
            val weight = weights[team] ?: 1.0
            val share = minOf(demand, remaining * weight / remainingWeight)
            shares[team] = share
            remaining -= share
            remainingWeight -= weight
        }
        return shares
    }
}
