package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * Computes at the successor the units to take over from the removed instances, from the reports of the members.
 *
 * A removed instance held its initial units, plus the units given to it, minus the units received from it. These are
 * the units to take over, including those in messages that were still in transit. Settling each pair at its member
 * would be wrong: units that were passed around in a circle leave large positive and negative amounts there, and only
 * their sum is meaningful.
 */
internal class Settlement(
    private val delay: Duration,
) {
    private var generation = 0L
    private val reports = mutableMapOf<InstanceId, Map<LimitKey, Long>>()
    private var lastReportAt = Timestamp.ZERO
    private var initialUnits = 0L
    private var takenOver = mapOf<LimitKey, Long>()
    private var completedGeneration = 0L

    /** Returns the units of [key] taken over from removed instances. */
    fun units(key: LimitKey): Long = initialUnits + (takenOver[key] ?: 0)

    fun onReport(
        now: Timestamp,
        from: InstanceId,
        reportGeneration: Long,
        net: List<KeyCount>,
    ) {
        if (reportGeneration < generation) return
        startGeneration(reportGeneration)
        if (reports.put(from, net.associate { it.key to it.count }) == null) lastReportAt = now
    }

    /**
     * Completes the settlement if every member has reported and [delay] has passed since the last report; returns
     * whether units were added.
     */
    fun tryComplete(
        now: Timestamp,
        allotment: Allotment,
        self: InstanceId,
        own: () -> Map<LimitKey, Long>,
    ): Boolean {
        val current = allotment.removalGeneration
        if (current == completedGeneration || current < generation) return false
        if (current > generation) {
            startGeneration(current)
            lastReportAt = now
        }
        val expected = allotment.members.filter { it.generation < current && it.instance != self }.map { it.instance }
        if (!reports.keys.containsAll(expected) || now - lastReportAt < delay) return false
        val sums = own().toMutableMap()
        for (member in expected) {
            for ((key, net) in reports.getValue(member)) sums.merge(key, net, Long::plus)
        }
        takenOver = sums
        initialUnits = allotment.removed.sumOf { allotment.initialUnits(it.instance).toLong() }
        completedGeneration = current
        return true
    }

    private fun startGeneration(next: Long) {
        if (next == generation) return
        generation = next
        reports.clear()
    }
}
