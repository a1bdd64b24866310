package oriolespindle.core.crash

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request whose attempt at an endpoint broke off before its answer was complete. */
public data class BrokenAttempt(
    public val traits: Set<RequestTrait>,
    /** Whether the endpoint had begun the answer. */
    public val isBegun: Boolean,
    public val sentAt: Timestamp,
)

/** The attempts that broke off at a process that has ended or is silent, the first of them at [since]. */
public class AttemptsOfEnded(
    public val since: Timestamp,
    public val attempts: List<BrokenAttempt>,
)

/**
 * Remembers the attempts that broke off at each process of an endpoint, until it is known whether it has ended.
 *
 * An attempt may break off in many ways, most of which do not tell what became of the process: its connection is lost,
 * its answer makes no sense, nothing arrives, or its caller leaves. The end of the process may show seconds later,
 * for example when the platform removes its registration. A process that sends something later has not ended under
 * the attempt. Confined to one thread.
 */
public class BrokenAttempts(
    /** How long an attempt is remembered; a registration is removed a few seconds after its process has ended. */
    private val retention: Duration = 10.seconds,
    private val maxPerProcess: Int = 256,
) {
    private class Entry {
        val attempts = ArrayList<Pair<Timestamp, BrokenAttempt>>()
        var silentSince: Timestamp? = null
    }

    private val entries = HashMap<EndpointProcess, Entry>()

    /** The processes at which attempts broke off. */
    public val processes: Set<EndpointProcess> get() = entries.keys.toSet()

    /**
     * Records that [attempt] broke off at [process]; [isSilent] if because nothing arrived from it.
     *
     * An attempt that was sent to a process that had already fallen silent is not the cause, and is not recorded.
     */
    public fun add(
        now: Timestamp,
        process: EndpointProcess,
        attempt: BrokenAttempt,
        isSilent: Boolean,
    ) {
        val entry = entries.getOrPut(process) { Entry() }
        val silentSince = entry.silentSince
        if (silentSince != null && attempt.sentAt > silentSince) return
        if (isSilent && silentSince == null) entry.silentSince = now
        if (entry.attempts.size < maxPerProcess) entry.attempts += now to attempt
    }

    /** Forgets the attempts that broke off before [process] has now sent something. */
    public fun onSignOfLife(
        now: Timestamp,
        process: EndpointProcess,
    ) {
        val entry = entries[process] ?: return
        // What has just arrived may have been sent before the last attempt broke off.
        entry.attempts.removeIf { (brokenAt, _) -> now - brokenAt > TRANSIT_TIME }
        entry.silentSince = entry.silentSince?.takeIf { now - it <= TRANSIT_TIME }
        if (entry.attempts.isEmpty()) entries.remove(process)
    }

    /** Forgets the attempts at [process], whose end would have another cause. */
    public fun forget(process: EndpointProcess) {
        entries.remove(process)
    }

    /** Returns the attempts that broke off at [process]; null if there are none. */
    public fun at(process: EndpointProcess): AttemptsOfEnded? {
        val attempts = entries[process]?.attempts?.takeIf { it.isNotEmpty() } ?: return null
        return AttemptsOfEnded(attempts.minOf { it.first }, attempts.map { it.second })
    }

    /** Returns and forgets the attempts that broke off at [process], which has ended; null if there are none. */
    public fun takeAll(process: EndpointProcess): AttemptsOfEnded? = at(process).also { entries.remove(process) }

    /** Forgets the attempts that broke off too long ago. */
    public fun expire(now: Timestamp) {
        entries.values.forEach { entry -> entry.attempts.removeIf { (brokenAt, _) -> now - brokenAt > retention } }
        entries.values.removeIf { it.attempts.isEmpty() }
    }

    private companion object {
        val TRANSIT_TIME = 100.milliseconds
    }
}
