package oriolespindle.core.lease

import oriolespindle.core.config.ConditionalWrite
import oriolespindle.core.config.ConditionalWriteSettings
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WriteAction
import oriolespindle.core.config.WriteEvent
import oriolespindle.core.config.WriteResult
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One instance's part in a lease that is an object of the platform.
 *
 * No clock is shared. The holder counts the lease from before it sent the write that landed; a candidate takes over
 * only after it has seen one version for the whole duration and a margin, from when it first saw it. The fencing
 * token is the store's revision of the acquiring write, which rises even when the object is deleted in between.
 */
public class LeaseHolder(
    private val settings: LeaseSettings,
) {
    private class Held(
        val fence: Long,
        val actFrom: Timestamp,
        val quietFrom: Timestamp,
        val version: Revision,
        val validUntil: Timestamp,
    )

    /** A write in progress; [renews] is what it renews, null for a write that acquires or releases the lease. */
    private class Pending(
        val write: ConditionalWrite,
        val startedAt: Timestamp,
        val renews: Held?,
        val releases: Boolean,
        val creates: Boolean,
    ) {
        var trusted = true
    }

    private var rank: Int? = null
    private var held: Held? = null
    private var trusted = false
    private var pending: Pending? = null

    /** The lease was given up while a write was in progress, whose result is to be replaced by a release. */
    private var releaseDue = false
    private val readings = LeaseReadings(settings)
    private var nextRenewal: Timestamp? = null
    private var writeDue: Timestamp? = null
    private var writes = 0

    /** The instances that are candidates for the lease; together they read it about as often as one alone would. */
    public var candidateCount: Int
        get() = readings.candidateCount
        set(value) {
            readings.candidateCount = value
        }

    /** Applies [event] and returns what to do. */
    public fun handle(
        now: Timestamp,
        event: LeaseEvent,
    ): List<LeaseAction> {
        val actions = ArrayList<LeaseAction>()
        detectPause(now, actions)
        expire(now, actions)
        when (event) {
            LeaseEvent.Tick -> Unit
            is LeaseEvent.Candidate -> candidate(now, event.rank)
            is LeaseEvent.Observed -> observed(now, event.current, actions)
            is LeaseEvent.Write -> wrote(now, event.event, actions)
            LeaseEvent.Paused -> distrust(now, actions)
            LeaseEvent.Release -> release(now, actions)
        }
        advance(now, actions)
        return actions
    }

    /** Returns whether the lease is certain to be held for [longest] from [now]. */
    public fun mayAct(
        now: Timestamp,
        longest: Duration,
    ): Boolean {
        val lease = held ?: return false
        return trusted && now >= lease.actFrom && now + longest <= lease.validUntil
    }

    /** Returns when [LeaseEvent.Tick] is due, or null when nothing is due. */
    public fun nextTimer(): Timestamp? {
        // A renewal that falls due while a write is in progress waits for it, which is no sign of a pause.
        val renewal = nextRenewal.takeIf { pending == null }
        return listOfNotNull(held?.validUntil, readings.next, renewal, writeDue).minOrNull()
    }

    private fun candidate(
        now: Timestamp,
        rank: Int?,
    ) {
        this.rank = rank
        readings.next = if (rank == null || held != null) null else readings.next ?: now
    }

    private fun detectPause(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        val due = nextTimer() ?: return
        if (now - due > settings.pauseLimit) distrust(now, actions)
    }

    /** What was held through a pause is not used until a renewal proves that nobody took it. */
    private fun distrust(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        pending?.trusted = false
        if (held == null || !trusted) return
        trusted = false
        nextRenewal = now
        actions += LeaseAction.Lost(LeaseLoss.PAUSED)
    }

    private fun expire(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        val lease = held ?: return
        if (now >= lease.validUntil) lose(now, LeaseLoss.EXPIRED, actions)
    }

    private fun lose(
        now: Timestamp,
        reason: LeaseLoss,
        actions: MutableList<LeaseAction>,
    ) {
        if (held != null && trusted) actions += LeaseAction.Lost(reason)
        held = null
        trusted = false
        nextRenewal = null
        readings.next = if (rank == null) null else now
    }

    private fun observed(
        now: Timestamp,
        current: StoredObject?,
        actions: MutableList<LeaseAction>,
    ) {
        val live = current?.takeUnless { it.deleted }
        val lease = held
        if (lease != null) {
            val newer = live != null && live.version > lease.version
            if (newer && pending == null) replaced(now, checkNotNull(live), actions)
            return
        }
        readings.read(now, live, rank)
    }

    /** Another holder took the lease, unless the newer version is an own write that was given up as uncertain. */
    private fun replaced(
        now: Timestamp,
        current: StoredObject,
        actions: MutableList<LeaseAction>,
    ) {
        val lease = held
        val own = current.value?.let(LeaseValue::parseOrNull)?.holder == settings.self
        if (lease != null && own) {
            held = Held(lease.fence, lease.actFrom, lease.quietFrom, current.version, lease.validUntil)
            nextRenewal = now
            return
        }
        lose(now, LeaseLoss.TAKEN, actions)
        observed(now, current, actions)
    }

    private fun advance(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        if (pending != null) {
            if (reached(now, writeDue)) wrote(now, WriteEvent.Tick, actions)
            return
        }
        if (held != null) {
            if (reached(now, nextRenewal)) renew(now, actions)
            return
        }
        if (rank == null) return
        if (readings.isFresh(now) && reached(now, readings.takeableAt(rank))) {
            startWrite(now, readings.current?.version, renews = null, releases = false, actions)
        } else if (reached(now, readings.next)) {
            readings.next = now + settings.pollInterval
            actions += LeaseAction.Read
        }
    }

    private fun renew(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        nextRenewal = now + settings.renewInterval
        val lease = checkNotNull(held)
        startWrite(now, lease.version, renews = lease, releases = false, actions)
    }

    private fun release(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        val version = held?.version
        rank = null
        lose(now, LeaseLoss.RELEASED, actions)
        if (pending != null) {
            releaseDue = true
        } else if (version != null) {
            startWrite(now, version, renews = null, releases = true, actions)
        }
    }

    private fun startWrite(
        now: Timestamp,
        expected: Revision?,
        renews: Held?,
        releases: Boolean,
        actions: MutableList<LeaseAction>,
    ) {
        val holder = settings.self.takeUnless { releases }
        val value = LeaseValue(holder, "${settings.self}/${++writes}", settings.duration.inWholeMilliseconds)
        val write = ConditionalWrite(settings.key, LeaseValue.encode(value), expected, WRITE_SETTINGS)
        pending = Pending(write, now, renews, releases, creates = expected == null)
        wrote(now, WriteEvent.Start, actions)
    }

    private fun wrote(
        now: Timestamp,
        event: WriteEvent,
        actions: MutableList<LeaseAction>,
    ) {
        val current = pending ?: return
        writeDue = current.startedAt + WRITE_SETTINGS.timeout
        current.write.handle(now, event).forEach { action ->
            when (action) {
                is WriteAction.Finish -> finished(now, current, action.result, actions)
                is WriteAction.Wait -> writeDue = action.until
                else -> actions += LeaseAction.Perform(action)
            }
        }
    }

    private fun finished(
        now: Timestamp,
        write: Pending,
        result: WriteResult,
        actions: MutableList<LeaseAction>,
    ) {
        pending = null
        writeDue = null
        when {
            write.releases -> Unit

            releaseDue -> releaseAfter(now, result, actions)

            result is WriteResult.Accepted -> accepted(now, write, checkNotNull(result.version), actions)

            result is WriteResult.Conflict -> conflict(now, result.current, actions)

            // The lease may still run; it is renewed again or expires by itself.
            else -> if (held == null) readings.next = now
        }
    }

    /** Without a landed write another instance has the lease, or it runs out by itself. */
    private fun releaseAfter(
        now: Timestamp,
        result: WriteResult,
        actions: MutableList<LeaseAction>,
    ) {
        releaseDue = false
        if (result is WriteResult.Accepted) {
            startWrite(now, checkNotNull(result.version), renews = null, releases = true, actions)
        }
    }

    private fun conflict(
        now: Timestamp,
        current: StoredObject?,
        actions: MutableList<LeaseAction>,
    ) {
        val live = current?.takeUnless { it.deleted }
        if (held != null && live != null) {
            replaced(now, live, actions)
            return
        }
        lose(now, LeaseLoss.TAKEN, actions)
        observed(now, live, actions)
    }

    /**
     * The lease runs from before the write was sent, because others count from after it landed.
     *
     * A renewal that lands after the lease ended here still proves that nobody took it, and keeps the token. Creating
     * the object says nothing about a holder whose object was deleted, so a created lease is not used for one duration.
     */
    private fun accepted(
        now: Timestamp,
        write: Pending,
        version: Revision,
        actions: MutableList<LeaseAction>,
    ) {
        val until = write.startedAt + settings.duration - settings.margin
        val fence = write.renews?.fence ?: version.value
        val free = if (write.creates) now + settings.duration + settings.margin else now
        val actFrom = write.renews?.actFrom ?: free
        val quietFrom = write.renews?.quietFrom ?: (actFrom + settings.maxOrderTime)
        held = Held(fence, actFrom, quietFrom, version, until)
        trusted = write.trusted
        readings.clear()
        nextRenewal = if (trusted) write.startedAt + settings.renewInterval else now
        if (now >= until) {
            lose(now, LeaseLoss.EXPIRED, actions)
        } else if (trusted && now >= actFrom) {
            actions += LeaseAction.Held(fence, quietFrom, until)
        }
    }

    private fun reached(
        now: Timestamp,
        due: Timestamp?,
    ): Boolean = due != null && now >= due

    private companion object {
        /** Short enough to renew again before the lease ends. */
        val WRITE_SETTINGS = ConditionalWriteSettings(timeout = 3_000.milliseconds)
    }
}
