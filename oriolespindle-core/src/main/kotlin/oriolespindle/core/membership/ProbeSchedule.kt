package oriolespindle.core.membership

import oriolespindle.core.id.InstanceId
import java.util.random.RandomGenerator

/**
 * Chooses the instances to probe.
 *
 * Each pass visits every instance once in a new random order, which bounds the time until a failed instance is probed.
 * Instances of the own zone and of other zones have separate passes.
 */
internal class ProbeSchedule(
    private val self: MemberRecord,
    private val settings: MembershipSettings,
    private val random: RandomGenerator,
) {
    private val ownPass = ArrayDeque<InstanceId>()
    private val otherPass = ArrayDeque<InstanceId>()

    /** Returns the instances to probe now; if one of the two passes has no candidates, the other gets its probes. */
    fun nextRound(table: MemberTable): List<MemberRecord> {
        val candidates = table.all().filter { it.state <= MemberState.SUSPECT }
        val (own, others) = candidates.partition { it.zone == self.zone }
        val all = settings.ownZoneProbes + settings.otherZoneProbes
        val ownCount = if (others.isEmpty()) all else settings.ownZoneProbes
        val otherCount = if (own.isEmpty()) all else settings.otherZoneProbes
        return takeFromPass(ownPass, own, ownCount) + takeFromPass(otherPass, others, otherCount)
    }

    /** Returns a random suspect that is not in [round], so that it learns of the suspicion in time to refute it. */
    fun randomSuspect(
        table: MemberTable,
        round: List<MemberRecord>,
    ): MemberRecord? = sample(table.all().filter { it.state == MemberState.SUSPECT } - round.toSet(), 1).firstOrNull()

    /** Returns a random dead instance to probe again, or null if there is none. */
    fun randomDead(table: MemberTable): MemberRecord? =
        sample(table.all().filter { it.state == MemberState.DEAD }, 1).firstOrNull()

    /** Returns up to [own] and [others] random reachable instances of the own zone and of other zones. */
    fun targets(
        table: MemberTable,
        own: Int,
        others: Int,
    ): List<MemberRecord> {
        val (local, remote) = table.all().filter { it.state <= MemberState.LEAVING }.partition { it.zone == self.zone }
        return sample(local, own) + sample(remote, others)
    }

    private fun takeFromPass(
        pass: ArrayDeque<InstanceId>,
        candidates: List<MemberRecord>,
        count: Int,
    ): List<MemberRecord> {
        val byId = candidates.associateBy { it.id }
        val chosen = LinkedHashMap<InstanceId, MemberRecord>()
        while (chosen.size < minOf(count, candidates.size)) {
            if (pass.isEmpty()) pass += shuffled(candidates.map { it.id })
            val id = pass.removeFirst()
            byId[id]?.let { chosen[id] = it }
        }
        return chosen.values.toList()
    }

    private fun sample(
        candidates: List<MemberRecord>,
        count: Int,
    ): List<MemberRecord> {
        val pool = candidates.toMutableList()
        return List(minOf(count, pool.size)) { pool.removeAt(random.nextInt(pool.size)) }
    }

    private fun shuffled(ids: List<InstanceId>): List<InstanceId> {
        val result = ids.toMutableList()
        for (last in result.lastIndex downTo 1) {
            val other = random.nextInt(last + 1)
            result[last] = result[other].also { result[other] = result[last] }
        }
        return result
    }
}
