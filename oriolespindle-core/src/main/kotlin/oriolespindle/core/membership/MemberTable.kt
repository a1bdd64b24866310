package oriolespindle.core.membership

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import java.util.TreeMap
import kotlin.time.Duration

/** The records of the other instances and since when each is in its state. */
internal class MemberTable {
    private class Entry(
        var record: MemberRecord,
        var since: Timestamp,
    ) {
        var lastHeard: Timestamp? = null
    }

    private val entries = TreeMap<InstanceId, Entry>()

    val size: Int get() = entries.size

    fun get(id: InstanceId): MemberRecord? = entries[id]?.record

    fun all(): List<MemberRecord> = entries.values.map { it.record }

    fun members(): List<Member> = entries.values.map { Member(it.record, it.lastHeard) }

    fun onHeard(
        now: Timestamp,
        id: InstanceId,
    ) {
        entries[id]?.lastHeard = now
    }

    /** Keeps [record] if it supersedes what is known, and says whether it did. */
    fun merge(
        now: Timestamp,
        record: MemberRecord,
    ): Boolean {
        val entry = entries[record.id]
        if (entry == null) {
            entries[record.id] = Entry(record, now)
            return true
        }
        if (!record.supersedes(entry.record)) return false
        entry.record = record
        entry.since = now
        return true
    }

    fun recordsInStateSince(
        state: MemberState,
        before: Timestamp,
    ): List<MemberRecord> = entries.values.filter { it.record.state == state && it.since <= before }.map { it.record }

    fun earliestSuspicion(): Timestamp? =
        entries.values
            .filter {
                it.record.state == MemberState.SUSPECT
            }.minOfOrNull { it.since }

    /** Gives suspects the time of a pause in which their refutations could not be received. */
    fun extendSuspicions(pause: Duration) {
        entries.values
            .filter { it.record.state == MemberState.SUSPECT }
            .forEach { it.since += pause }
    }

    fun forget(id: InstanceId) {
        entries.remove(id)
    }
}
