package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId

/** Decides how many units to request and how many to give. It affects only efficiency, never the total. */
internal class SharePolicy(
    private val self: InstanceId,
    private val fanOut: Int,
) {
    /** Returns the request to send to each of the asked peers, or null if there is no shortfall. */
    fun want(
        usage: KeyUsage,
        holding: Int,
    ): ShareWant? {
        val shortfall = maxOf(usage.demand, usage.need) - holding
        if (shortfall <= 0) return null
        // Slots and the units for a single large request are of no use in parts.
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
     * Returns the units to keep when they are too few for any waiting request. Of two such instances the one that holds
     * more gets the units; otherwise neither would ever have enough.
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

    /**
     * Returns the units to keep when both instances are busy: a share proportional to demand, or all units if the
     * division is already close to that.
     */
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
        // Without this tolerance, fluctuations of the measured demand would move units back and forth all the time.
        const val TOLERATED_IMBALANCE = 10
    }
}
