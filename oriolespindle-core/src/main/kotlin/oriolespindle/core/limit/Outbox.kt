package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tracks the counters that each peer has not acknowledged and when to resend them, with exponential backoff. */
internal class Outbox(
    private val initialResendBackoff: Duration,
) {
    private val pending = mutableMapOf<InstanceId, Pending>()

    /** Marks [key] as unacknowledged by [to]; everything that [to] has not acknowledged becomes due immediately. */
    fun add(
        now: Timestamp,
        to: InstanceId,
        key: LimitKey,
    ) {
        val entry = pending.getOrPut(to) { Pending(now, initialResendBackoff) }
        entry.keys += key
        entry.dueAt = now
        entry.backoff = initialResendBackoff
    }

    fun acknowledge(
        from: InstanceId,
        key: LimitKey,
    ) {
        val entry = pending[from] ?: return
        entry.keys -= key
        if (entry.keys.isEmpty()) pending -= from
    }

    fun remove(peer: InstanceId) {
        pending -= peer
    }

    /** Returns the keys to send now to each peer, and schedules their next resend. */
    fun takeDue(now: Timestamp): Map<InstanceId, List<LimitKey>> {
        val due = pending.filterValues { it.dueAt <= now }
        for (entry in due.values) {
            entry.dueAt = now + entry.backoff
            entry.backoff = minOf(entry.backoff * 2, MAX_BACKOFF)
        }
        return due.mapValues { it.value.keys.toList() }
    }

    private class Pending(
        var dueAt: Timestamp,
        var backoff: Duration,
    ) {
        val keys = linkedSetOf<LimitKey>()
    }

    private companion object {
        val MAX_BACKOFF = 2.seconds
    }
}
