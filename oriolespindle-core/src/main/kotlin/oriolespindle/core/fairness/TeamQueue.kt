package oriolespindle.core.fairness

import oriolespindle.core.id.TeamId
import oriolespindle.core.time.Timestamp
import java.util.TreeMap

/** The waiting requests of one team in deadline order, and the team's position in the [FairQueue]. */
internal class TeamQueue<T>(
    val team: TeamId,
    settings: FairSettings,
) {
    val estimator = CostEstimator(settings.minTokens)
    val rate = ServiceRate(settings.rateWindow, settings.minBusyTime)
    var weight = 1.0

    /** The virtual time at which the first waiting request starts, or at which the last one ended if none waits. */
    var startTag = 0.0

    /** The sequence number of the team's last start; among equal start tags the least recently served team is next. */
    var lastServed = 0L

    private val entries = TreeMap<Position, WaitingEntry<T>>()
    private val costByBucket = TreeMap<Long, BucketCost>()

    /** The expected cost of the waiting requests. */
    var waitingCost = 0.0
        private set

    val size: Int get() = entries.size
    val isWaiting: Boolean get() = entries.isNotEmpty()
    val firstStartBy: Timestamp get() = entries.firstKey().startBy

    fun add(
        entry: FairEntry<T>,
        sequence: Long,
    ) {
        val cost = estimator.expectedTokens(entry.cost)
        entries[Position(entry.startBy, sequence)] = WaitingEntry(entry, cost)
        val bucket = costByBucket.getOrPut(bucketOf(entry.startBy)) { BucketCost() }
        bucket.count++
        bucket.cost += cost
        waitingCost += cost
    }

    fun first(): FairEntry<T> = entries.firstEntry().value.entry

    fun last(): FairEntry<T> = entries.lastEntry().value.entry

    fun removeFirst(): FairEntry<T> = onRemoved(entries.pollFirstEntry().value)

    fun removeLast(): FairEntry<T> = onRemoved(entries.pollLastEntry().value)

    /** Removes [entry], which is compared by identity, and returns whether it was waiting. */
    fun remove(entry: FairEntry<T>): Boolean {
        val position = entries.entries.firstOrNull { it.value.entry === entry }?.key ?: return false
        entries.remove(position)?.let(::onRemoved)
        return true
    }

    /** Returns the approximate cost of the requests that start before one with [startBy]. */
    fun costBefore(startBy: Timestamp): Double {
        val last = costByBucket.lastEntry() ?: return 0.0
        val bucket = bucketOf(startBy)
        return if (bucket >= last.key) waitingCost else costByBucket.headMap(bucket, true).values.sumOf { it.cost }
    }

    private fun onRemoved(waiting: WaitingEntry<T>): FairEntry<T> {
        val key = bucketOf(waiting.entry.startBy)
        val bucket = costByBucket.getValue(key)
        bucket.count--
        bucket.cost -= waiting.cost
        waitingCost -= waiting.cost
        if (bucket.count == 0) costByBucket -= key
        if (entries.isEmpty()) waitingCost = 0.0
        return waiting.entry
    }

    private fun bucketOf(time: Timestamp): Long = Math.floorDiv(time.nanos, BUCKET_NANOS)

    private data class Position(
        val startBy: Timestamp,
        val sequence: Long,
    ) : Comparable<Position> {
        override fun compareTo(other: Position): Int {
            val byTime = startBy.compareTo(other.startBy)
            return if (byTime != 0) byTime else sequence.compareTo(other.sequence)
        }
    }

    private class WaitingEntry<T>(
        val entry: FairEntry<T>,
        val cost: Double,
    )

    private class BucketCost {
        var count = 0
        var cost = 0.0
    }

    private companion object {
        const val BUCKET_NANOS = 100_000_000L
    }
}
