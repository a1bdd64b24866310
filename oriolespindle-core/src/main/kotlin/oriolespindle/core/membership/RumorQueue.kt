package oriolespindle.core.membership

import oriolespindle.core.id.InstanceId

/** Records that still have to be disseminated; those that were sent least often come first. */
internal class RumorQueue(
    private val settings: MembershipSettings,
) {
    private class Rumor(
        val record: MemberRecord,
    ) {
        var sendCount = 0
    }

    private val rumors = LinkedHashMap<InstanceId, Rumor>()

    fun add(record: MemberRecord) {
        rumors[record.id] = Rumor(record)
    }

    fun remove(id: InstanceId) {
        rumors.remove(id)
    }

    /** Returns the records for a message to [to]: [aboutReceiver] if it is not null, and no other record about [to]. */
    fun take(
        to: InstanceId,
        fleetSize: Int,
        aboutReceiver: MemberRecord?,
    ): List<MemberRecord> {
        val maxSends = settings.retransmitMultiplier * bitLength(fleetSize)
        val maxRumors = settings.maxRecordsPerMessage - (if (aboutReceiver == null) 0 else 1)
        val chosen =
            rumors.values
                .filter { it.record.id != to }
                .sortedBy { it.sendCount }
                .take(maxRumors)
        chosen.forEach { it.sendCount++ }
        rumors.values.removeIf { it.sendCount >= maxSends }
        return listOfNotNull(aboutReceiver) + chosen.map { it.record }
    }

    private fun bitLength(size: Int): Int = Int.SIZE_BITS - Integer.numberOfLeadingZeros(size)
}
