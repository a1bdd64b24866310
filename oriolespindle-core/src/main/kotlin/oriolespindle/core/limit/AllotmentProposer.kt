package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp

/** Proposes the changes of the allotment that follow from the platform's list of instances. */
internal class AllotmentProposer(
    private val self: InstanceId,
    private val settings: ShareSettings,
) {
    private var live = listOf<InstanceId>()
    private val liveSince = mutableMapOf<InstanceId, Timestamp>()
    private val goneSince = mutableMapOf<InstanceId, Timestamp>()
    private var lastProposal: Timestamp? = null

    fun onPlatformList(
        now: Timestamp,
        list: ShareEvent.PlatformList,
    ) {
        live = list.live.sorted()
        recordSince(now, goneSince, list.gone)
        recordSince(now, liveSince, list.live)
    }

    /** Returns a proposal for the first allotment, or null if no live instance is known or [mayPropose] is false. */
    fun proposeInitial(now: Timestamp): ShareAction.Propose? {
        if (live.isEmpty() || !mayPropose(now)) return null
        return ShareAction.Propose(Allotment.start(live), expectedGeneration = null)
    }

    /**
     * Returns a proposal for the change that is needed, or null if there is none or another instance should propose it.
     *
     * [partners] returns the instances that have exchanged units with this one.
     */
    fun proposeChange(
        now: Timestamp,
        allotment: Allotment,
        partners: () -> Set<InstanceId>,
    ): ShareAction.Propose? {
        if (allotment.isRemoved(self)) return null
        // Proposals are staggered by instance, so that normally only the first instance writes.
        val turnDelay = settings.proposeInterval * live.indexOf(self).coerceIn(0, MAX_TURN)
        val gone = goneSince.filter { now - it.value >= turnDelay && !allotment.isRemoved(it.key) }.keys
        val involved = if (gone.isEmpty()) emptySet() else partners() + allotment.members.map { it.instance }
        val toRemove = gone.filter { it in involved }
        val joining = liveSince.filter { now - it.value >= turnDelay && allotment.joinGeneration(it.key) == null }.keys
        val next =
            when {
                toRemove.isNotEmpty() -> removal(now, allotment, toRemove)
                else -> joining.sorted().fold(allotment) { result, id -> result.withMember(id) }
            }
        if (next == null || next == allotment || !mayPropose(now)) return null
        return ShareAction.Propose(next, allotment.generation)
    }

    private fun removal(
        now: Timestamp,
        allotment: Allotment,
        gone: List<InstanceId>,
    ): Allotment? {
        val removesAllMembers = allotment.members.all { it.instance in gone }
        val settleDelayPassed = gone.all { now - goneSince.getValue(it) >= settings.settleDelay }
        return if (removesAllMembers && !settleDelayPassed) null else allotment.withoutInstances(gone, live)
    }

    private fun recordSince(
        now: Timestamp,
        since: MutableMap<InstanceId, Timestamp>,
        listed: List<InstanceId>,
    ) {
        since.keys.retainAll(listed.toSet())
        listed.forEach { since.putIfAbsent(it, now) }
    }

    /** Returns whether [ShareSettings.proposeInterval] has passed since the last proposal, and if so restarts it. */
    private fun mayPropose(now: Timestamp): Boolean {
        val last = lastProposal
        if (last != null && now - last < settings.proposeInterval) return false
        lastProposal = now
        return true
    }

    private companion object {
        // Bounds the delay if the instances with earlier turns cannot reach the platform.
        const val MAX_TURN = 5
    }
}
