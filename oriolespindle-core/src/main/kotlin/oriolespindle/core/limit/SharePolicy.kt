package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId

/** Decides how many units to ask for and how many to give. It affects only efficiency, never the total. */
internal class SharePolicy(
    private val self: InstanceId,
    private val fanOut: Int,
) {
    /** Returns the request to send to each asked peer, or null if nothing is lacking. */
    fun want(
        usage: KeyUsage,
        holding: Int,
    ): ShareWant? {
        val shortfall = maxOf(usage.demand, usage.need) - holding
        if (shortfall <= 0) return null
        // Whole slots and the units for one large request are of no use in parts.
        val isIndivisible = usage.key.kind == LimitKind.CONCURRENCY || usage.need > holding
        val units = if (isIndivisible) shortfall else (shortfall + fanOut - 1) / fanOut
        return ShareWant(usage.key, units, holding, usage.demand)
    }

    /** Returns the units to give to [peer] for its [want]. */
    fun unitsToGive(
        usage: KeyUsage,
        holding: Int,
        reserve: Int,
        want: ShareWant,
        peer: InstanceId,
    ): Int {
        val neededUnits = maxOf(usage.inUse, usage.demand, reserve)
        val keep =
            when {
                usage.need > holding -> unitsToKeepIfInsufficient(usage, holding, want, peer)
                neededUnits < holding -> neededUnits
                else -> maxOf(usage.inUse, unitsToKeepByDemand(usage, holding, want))
            }
        return minOf(want.units, holding - keep).coerceAtLeast(0)
    }

    /**
     * Decides for units that are too few for any waiting request. Of two such instances the one that holds more
     * gets them, since otherwise none would ever have enough.
     */
    private fun unitsToKeepIfInsufficient(
        usage: KeyUsage,
        holding: Int,
        want: ShareWant,
        peer: InstanceId,
    ): Int {
        val isPeerPreferred = want.holding > holding || (want.holding == holding && peer < self)
        return if (isPeerPreferred) usage.inUse else holding
    }

    /** Divides the units of two busy instances by their demand, unless they are nearly divided like that. */
    private fun unitsToKeepByDemand(
        usage: KeyUsage,
        holding: Int,
        want: ShareWant,
    ): Int {
        val demand = usage.demand.toLong() + want.demand
        if (demand == 0L) return holding
        val fair = ((holding.toLong() + want.holding) * usage.demand / demand).toInt()
        return if (holding - fair < holding / TOLERATED_IMBALANCE) holding else fair
    }

    private companion object {
        // Without a tolerance, measured demand that varies would move units back and forth all the time.
        const val TOLERATED_IMBALANCE = 10
    }
}
