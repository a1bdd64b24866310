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
 * Acquires, renews and releases a lease, stored as an object of the platform, for one instance.
 *
 * The instances share no clock. The holder counts the lease from before it sent the write that was applied; a candidate
 * takes over only after it has seen the same version for the whole duration plus a margin, counted from when it first
 * saw it. The fencing token is the store's revision of the acquiring write, which increases even if the object is
 * deleted in between.
 */
public class LeaseHolder(
    private val settings: LeaseSettings,
) {
    private class Held(
        val fence: Long,
        val usableFrom: Timestamp,
        val quietFrom: Timestamp,
        val version: Revision,
        val validUntil: Timestamp,
    )

    /** A write in progress; [renewedLease] is null for a write that acquires or releases the lease. */
    private class PendingWrite(
        val write: ConditionalWrite,
        val startedAt: Timestamp,
        val renewedLease: Held?,
        val isRelease: Boolean,
        val isCreation: Boolean,
    ) {
        var isTrusted = true
    }

    private var rank: Int? = null
    private var held: Held? = null
    private var isTrusted = false
    private var pending: PendingWrite? = null

    /** Whether the lease is to be released once the write in progress has finished. */
    private var isReleasePending = false
    private val observation = LeaseObservation(settings)
    private var renewalAt: Timestamp? = null
    private var writeTimerAt: Timestamp? = null
    private var writeCount = 0

    /** The number of candidates for the lease; all together read it about as often as a single one would. */
    public var candidateCount: Int
        get() = observation.candidateCount
        set(value) {
            observation.candidateCount = value
        }

    /** Applies [event] and returns the actions to perform, in order. */
    public fun handle(
        now: Timestamp,
        event: LeaseEvent,
    ): List<LeaseAction> {
        val actions = ArrayList<LeaseAction>()
        detectPause(now, actions)
        expireIfDue(now, actions)
        when (event) {
            LeaseEvent.Tick -> Unit
            is LeaseEvent.Candidate -> onCandidate(now, event.rank)
            is LeaseEvent.Observed -> onObserved(now, event.current, actions)
            is LeaseEvent.Write -> onWriteEvent(now, event.event, actions)
            LeaseEvent.Paused -> onPause(now, actions)
            LeaseEvent.Release -> release(now, actions)
        }
        advance(now, actions)
        return actions
    }

    /** Returns whether the lease may be used and is certain to be held for [maxDuration] from [now]. */
    public fun mayAct(
        now: Timestamp,
        maxDuration: Duration,
    ): Boolean {
        val lease = held ?: return false
        return isTrusted && now >= lease.usableFrom && now + maxDuration <= lease.validUntil
    }

    /** Returns the time at which [LeaseEvent.Tick] is due, or null if none is. */
    public fun nextTimer(): Timestamp? {
        // A renewal that becomes due during a write waits for the write, and must not be mistaken for a pause.
        val renewal = renewalAt.takeIf { pending == null }
        return listOfNotNull(held?.validUntil, observation.nextReadAt, renewal, writeTimerAt).minOrNull()
    }

    private fun onCandidate(
        now: Timestamp,
        rank: Int?,
    ) {
        this.rank = rank
        observation.nextReadAt = if (rank == null || held != null) null else observation.nextReadAt ?: now
    }

    private fun detectPause(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        val due = nextTimer() ?: return
        if (now - due > settings.pauseLimit) onPause(now, actions)
    }

    /** After a pause, the lease is not used until a renewal proves that no other instance has acquired it. */
    private fun onPause(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        pending?.isTrusted = false
        if (held == null || !isTrusted) return
        isTrusted = false
        renewalAt = now
        actions += LeaseAction.Lost(LeaseLoss.PAUSED)
    }

    private fun expireIfDue(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        val lease = held ?: return
        if (now >= lease.validUntil) endLease(now, LeaseLoss.EXPIRED, actions)
    }

    private fun endLease(
        now: Timestamp,
        reason: LeaseLoss,
        actions: MutableList<LeaseAction>,
    ) {
        if (held != null && isTrusted) actions += LeaseAction.Lost(reason)
        held = null
        isTrusted = false
        renewalAt = null
        observation.nextReadAt = if (rank == null) null else now
    }

    private fun onObserved(
        now: Timestamp,
        current: StoredObject?,
        actions: MutableList<LeaseAction>,
    ) {
        val live = current?.takeUnless { it.deleted }
        val lease = held
        if (lease != null) {
            val isNewer = live != null && live.version > lease.version
            if (isNewer && pending == null) onNewerVersion(now, checkNotNull(live), actions)
            return
        }
        observation.onRead(now, live, rank)
    }

    /** Another instance acquired the lease, unless the newer version is an own write whose outcome was uncertain. */
    private fun onNewerVersion(
        now: Timestamp,
        current: StoredObject,
        actions: MutableList<LeaseAction>,
    ) {
        val lease = held
        val isOwnWrite = current.value?.let(LeaseValue::parseOrNull)?.holder == settings.self
        if (lease != null && isOwnWrite) {
            held = Held(lease.fence, lease.usableFrom, lease.quietFrom, current.version, lease.validUntil)
            renewalAt = now
            return
        }
        endLease(now, LeaseLoss.TAKEN, actions)
        onObserved(now, current, actions)
    }

    private fun advance(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        if (pending != null) {
            if (isDue(now, writeTimerAt)) onWriteEvent(now, WriteEvent.Tick, actions)
            return
        }
        if (held != null) {
            if (isDue(now, renewalAt)) renew(now, actions)
            return
        }
        if (rank == null) return
        if (observation.isFresh(now) && isDue(now, observation.acquirableAt(rank))) {
            startWrite(now, observation.current?.version, renewedLease = null, isRelease = false, actions)
        } else if (isDue(now, observation.nextReadAt)) {
            observation.nextReadAt = now + settings.pollInterval
            actions += LeaseAction.Read
        }
    }

    private fun renew(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        renewalAt = now + settings.renewInterval
        val lease = checkNotNull(held)
        startWrite(now, lease.version, renewedLease = lease, isRelease = false, actions)
    }

    private fun release(
        now: Timestamp,
        actions: MutableList<LeaseAction>,
    ) {
        val version = held?.version
        rank = null
        endLease(now, LeaseLoss.RELEASED, actions)
        if (pending != null) {
            isReleasePending = true
        } else if (version != null) {
            startWrite(now, version, renewedLease = null, isRelease = true, actions)
        }
    }

    private fun startWrite(
        now: Timestamp,
        expected: Revision?,
        renewedLease: Held?,
        isRelease: Boolean,
        actions: MutableList<LeaseAction>,
    ) {
        val holder = settings.self.takeUnless { isRelease }
        val value = LeaseValue(holder, "${settings.self}/${++writeCount}", settings.duration.inWholeMilliseconds)
        val write = ConditionalWrite(settings.key, LeaseValue.encode(value), expected, WRITE_SETTINGS)
        pending = PendingWrite(write, now, renewedLease, isRelease, isCreation = expected == null)
        onWriteEvent(now, WriteEvent.Start, actions)
    }

    private fun onWriteEvent(
        now: Timestamp,
        event: WriteEvent,
        actions: MutableList<LeaseAction>,
    ) {
        val current = pending ?: return
        writeTimerAt = current.startedAt + WRITE_SETTINGS.timeout
        current.write.handle(now, event).forEach { action ->
            when (action) {
                is WriteAction.Finish -> onWriteFinished(now, current, action.result, actions)
                is WriteAction.Wait -> writeTimerAt = action.until
                else -> actions += LeaseAction.Perform(action)
            }
        }
    }

    private fun onWriteFinished(
        now: Timestamp,
        write: PendingWrite,
        result: WriteResult,
        actions: MutableList<LeaseAction>,
    ) {
        pending = null
        writeTimerAt = null
        when {
            write.isRelease -> Unit

            isReleasePending -> releaseAfterWrite(now, result, actions)

            result is WriteResult.Accepted -> onAccepted(now, write, checkNotNull(result.version), actions)

            result is WriteResult.Conflict -> onConflict(now, result.current, actions)

            // The lease may still be valid; it is renewed again or expires.
            else -> if (held == null) observation.nextReadAt = now
        }
    }

    /** If the write was not applied, another instance holds the lease or it expires. */
    private fun releaseAfterWrite(
        now: Timestamp,
        result: WriteResult,
        actions: MutableList<LeaseAction>,
    ) {
        isReleasePending = false
        if (result is WriteResult.Accepted) {
            startWrite(now, checkNotNull(result.version), renewedLease = null, isRelease = true, actions)
        }
    }

    private fun onConflict(
        now: Timestamp,
        current: StoredObject?,
        actions: MutableList<LeaseAction>,
    ) {
        val live = current?.takeUnless { it.deleted }
        if (held != null && live != null) {
            onNewerVersion(now, live, actions)
            return
        }
        endLease(now, LeaseLoss.TAKEN, actions)
        onObserved(now, live, actions)
    }

    /**
     * Counts the lease from before the write was sent, because other instances count from after it was applied.
     *
     * A renewal that is applied after the lease expired here still proves that no other instance acquired it, and keeps
     * the token. If the object was deleted, its holder may still act after it is created again, so a created lease is
     * not used for one duration and the margin.
     */
    private fun onAccepted(
        now: Timestamp,
        write: PendingWrite,
        version: Revision,
        actions: MutableList<LeaseAction>,
    ) {
        val until = write.startedAt + settings.duration - settings.margin
        val fence = write.renewedLease?.fence ?: version.value
        val earliestUse = if (write.isCreation) now + settings.duration + settings.margin else now
        val usableFrom = write.renewedLease?.usableFrom ?: earliestUse
        val quietFrom = write.renewedLease?.quietFrom ?: (usableFrom + settings.maxOrderTime)
        held = Held(fence, usableFrom, quietFrom, version, until)
        isTrusted = write.isTrusted
        observation.clear()
        renewalAt = if (isTrusted) write.startedAt + settings.renewInterval else now
        if (now >= until) {
            endLease(now, LeaseLoss.EXPIRED, actions)
        } else if (isTrusted && now >= usableFrom) {
            actions += LeaseAction.Held(fence, quietFrom, until)
        }
    }

    private fun isDue(
        now: Timestamp,
        due: Timestamp?,
    ): Boolean = due != null && now >= due

    private companion object {
        /** The timeout leaves time for another renewal before the lease expires. */
        val WRITE_SETTINGS = ConditionalWriteSettings(timeout = 3_000.milliseconds)
    }
}
