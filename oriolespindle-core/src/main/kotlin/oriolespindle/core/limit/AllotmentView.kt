package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId

/** An allotment with the lookups that are needed for every message, computed once for each change. */
internal class AllotmentView(
    val allotment: Allotment,
    self: InstanceId,
) {
    private val members = allotment.members.associate { it.instance to it.generation }
    private val removed = allotment.removed.mapTo(hashSetOf()) { it.instance }

    val ownInitialUnits: Int = allotment.initialUnits(self)
    val joinGeneration: Long? = members[self]
    val memberCount: Int = members.size

    fun isRemoved(instance: InstanceId): Boolean = instance in removed

    fun standing(instance: InstanceId): Standing =
        when (instance) {
            in removed -> Standing.REMOVED
            in members -> Standing.MEMBER
            else -> Standing.UNKNOWN
        }
}
