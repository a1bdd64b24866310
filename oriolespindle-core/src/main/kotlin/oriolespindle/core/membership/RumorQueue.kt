package oriolespindle.core.membership

import oriolespindle.core.id.InstanceId

/** Records that still have to be passed on, those sent least often first. */
internal class RumorQueue(
    private val settings: MembershipSettings,
) {
    private class Rumor(
        val record: MemberRecord,
    ) {
        var sent = 0
    }

    private val rumors = LinkedHashMap<InstanceId, Rumor>()

    fun add(record: MemberRecord) {
        rumors[record.id] = Rumor(record)
    }

    fun remove(id: InstanceId) {
        rumors.remove(id)
    }

    /** Returns the records for one message to [to], which needs none about itself unless [about] says so. */
    fun take(
        to: InstanceId,
        fleetSize: Int,
        about: MemberRecord?,
    ): List<MemberRecord> {
        val limit = settings.transmissions * bits(fleetSize)
        val room = settings.recordsPerMessage - (if (about == null) 0 else 1)
        val chosen =
            rumors.values
                .filter { it.record.id != to }
                .sortedBy { it.sent }
                .take(room)
        chosen.forEach { it.sent++ }
        rumors.values.removeIf { it.sent >= limit }
        return listOfNotNull(about) + chosen.map { it.record }
    }

    private fun bits(size: Int): Int = Int.SIZE_BITS - Integer.numberOfLeadingZeros(size)
}
