package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp

/** Proposes changes of the allotment from what the platform's list of instances says. */
internal class AllotmentKeeper(
    private val self: InstanceId,
    private val settings: ShareSettings,
) {
    private var live = listOf<InstanceId>()
    private val liveSince = mutableMapOf<InstanceId, Timestamp>()
    private val goneSince = mutableMapOf<InstanceId, Timestamp>()
    private var lastProposal: Timestamp? = null

    fun listed(
        now: Timestamp,
        list: ShareEvent.PlatformList,
    ) {
        live = list.live.sorted()
        remember(now, goneSince, list.gone)
        remember(now, liveSince, list.live)
    }

    fun missing(now: Timestamp): ShareAction.Propose? {
        if (live.isEmpty() || !mayPropose(now)) return null
        return ShareAction.Propose(Allotment.start(live), expectedGeneration = null)
    }

    /** Returns the change that is needed, if it is this instance's turn; [partners] have exchanged units with it. */
    fun check(
        now: Timestamp,
        allotment: Allotment,
        partners: () -> Set<InstanceId>,
    ): ShareAction.Propose? {
        if (allotment.isRemoved(self)) return null
        // Instances propose one after the other, so that normally only the first one writes.
        val turn = settings.proposeInterval * live.indexOf(self).coerceIn(0, LAST_TURN)
        val gone = goneSince.filter { now - it.value >= turn && !allotment.isRemoved(it.key) }.keys
        val involved = if (gone.isEmpty()) emptySet() else partners() + allotment.members.map { it.instance }
        val lost = gone.filter { it in involved }
        val joining = liveSince.filter { now - it.value >= turn && allotment.memberSince(it.key) == null }.keys
        val next =
            when {
                lost.isNotEmpty() -> removal(now, allotment, lost)
                else -> joining.sorted().fold(allotment) { result, id -> result.join(id) }
            }
        if (next == null || next == allotment || !mayPropose(now)) return null
        return ShareAction.Propose(next, allotment.generation)
    }

    private fun removal(
        now: Timestamp,
        allotment: Allotment,
        gone: List<InstanceId>,
    ): Allotment? {
        val leavesNone = allotment.members.all { it.instance in gone }
        val waited = gone.all { now - goneSince.getValue(it) >= settings.settleDelay }
        return if (leavesNone && !waited) null else allotment.remove(gone, live)
    }

    private fun remember(
        now: Timestamp,
        since: MutableMap<InstanceId, Timestamp>,
        listed: List<InstanceId>,
    ) {
        since.keys.retainAll(listed.toSet())
        listed.forEach { since.putIfAbsent(it, now) }
    }

    private fun mayPropose(now: Timestamp): Boolean {
        val last = lastProposal
        if (last != null && now - last < settings.proposeInterval) return false
        lastProposal = now
        return true
    }

    private companion object {
        // Bounds the delay when the instances before this one are cut off from the platform.
        const val LAST_TURN = 5
    }
}
