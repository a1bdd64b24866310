package oriolespindle.core.membership

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import java.util.TreeMap
import kotlin.time.Duration

/** The records of the other instances, and the time since which each is in its state. */
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

    /** Stores [record] if it is new or supersedes the known record, and returns whether it was stored. */
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

    /** Returns the records that entered [state] at or before [before]. */
    fun recordsInStateSince(
        state: MemberState,
        before: Timestamp,
    ): List<MemberRecord> = entries.values.filter { it.record.state == state && it.since <= before }.map { it.record }

    /** Returns when the oldest current suspicion began, or null if there is none. */
    fun earliestSuspicion(): Timestamp? =
        entries.values
            .filter {
                it.record.state == MemberState.SUSPECT
            }.minOfOrNull { it.since }

    /** Extends all suspicions by [pause], during which this process could not receive refutations. */
    fun extendSuspicions(pause: Duration) {
        entries.values
            .filter { it.record.state == MemberState.SUSPECT }
            .forEach { it.since += pause }
    }

    fun forget(id: InstanceId) {
        entries.remove(id)
    }
}
