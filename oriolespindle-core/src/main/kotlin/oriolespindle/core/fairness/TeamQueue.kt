package oriolespindle.core.fairness

import oriolespindle.core.id.TeamId
import oriolespindle.core.time.Timestamp
import java.util.TreeMap

/** The waiting requests of one team in the order of their deadlines, and the team's place in the fair order. */
internal class TeamQueue<T>(
    val team: TeamId,
    settings: FairSettings,
) {
    val estimate = CostEstimate(settings.minimumTokens)
    val rate = ServiceRate(settings.rateWindow, settings.minimumSample)
    var weight = 1.0

    /** The virtual time at which the first waiting request starts, or at which the last one ended if none waits. */
    var tag = 0.0

    /** Decides between equal tags in favour of the team that was served least recently. */
    var turn = 0L

    private val entries = TreeMap<Position, Waiting<T>>()
    private val costBySlot = TreeMap<Long, SlotCost>()

    /** What the waiting requests will probably cost. */
    var waitingCost = 0.0
        private set

    val size: Int get() = entries.size
    val isWaiting: Boolean get() = entries.isNotEmpty()
    val firstStartBy: Timestamp get() = entries.firstKey().startBy

    fun add(
        entry: FairEntry<T>,
        order: Long,
    ) {
        val cost = estimate.expected(entry.cost)
        entries[Position(entry.startBy, order)] = Waiting(entry, cost)
        val slot = costBySlot.getOrPut(slot(entry.startBy)) { SlotCost() }
        slot.count++
        slot.cost += cost
        waitingCost += cost
    }

    fun first(): FairEntry<T> = entries.firstEntry().value.entry

    fun last(): FairEntry<T> = entries.lastEntry().value.entry

    fun removeFirst(): FairEntry<T> = removed(entries.pollFirstEntry().value)

    fun removeLast(): FairEntry<T> = removed(entries.pollLastEntry().value)

    /** Returns about what the requests cost that start before one with [startBy]. */
    fun costBefore(startBy: Timestamp): Double {
        val last = costBySlot.lastEntry() ?: return 0.0
        val slot = slot(startBy)
        return if (slot >= last.key) waitingCost else costBySlot.headMap(slot, true).values.sumOf { it.cost }
    }

    private fun removed(waiting: Waiting<T>): FairEntry<T> {
        val key = slot(waiting.entry.startBy)
        val slot = costBySlot.getValue(key)
        slot.count--
        slot.cost -= waiting.cost
        waitingCost -= waiting.cost
        if (slot.count == 0) costBySlot -= key
        if (entries.isEmpty()) waitingCost = 0.0
        return waiting.entry
    }

    private fun slot(time: Timestamp): Long = Math.floorDiv(time.nanos, SLOT_NANOS)

    private data class Position(
        val startBy: Timestamp,
        val order: Long,
    ) : Comparable<Position> {
        override fun compareTo(other: Position): Int {
            val byTime = startBy.compareTo(other.startBy)
            return if (byTime != 0) byTime else order.compareTo(other.order)
        }
    }

    private class Waiting<T>(
        val entry: FairEntry<T>,
        val cost: Double,
    )

    private class SlotCost {
        var count = 0
        var cost = 0.0
    }

    private companion object {
        const val SLOT_NANOS = 100_000_000L
    }
}
