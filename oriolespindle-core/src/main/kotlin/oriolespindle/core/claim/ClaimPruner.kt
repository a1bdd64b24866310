package oriolespindle.core.claim

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A claim to delete, on condition that it is still at [version]. */
public data class PrunableClaim(
    public val target: ClaimObject,
    public val version: ClaimVersion,
)

/**
 * Settings of [ClaimPruner].
 *
 * Deletes count against the platform writes that claims may take, so that an instance makes at most [deletesPerSecond],
 * and saves up to [burst] while there is nothing to delete. [maxPending] bounds memory at about 20 MB.
 */
public data class PruneSettings(
    public val deletesPerSecond: Double = 2.0,
    public val burst: Duration = 10.seconds,
    public val maxPending: Int = 100_000,
) {
    init {
        require(deletesPerSecond > 0) { "deletesPerSecond is $deletesPerSecond, must be positive" }
        require(maxPending > 0) { "maxPending is $maxPending, must be positive" }
    }
}

/**
 * Says which claims to delete once their keys are refused everywhere.
 *
 * Each instance notes the claims that it has finished. Those of an instance that has ended are found by reading the
 * list of claims, which one instance does rarely and adds here; a claim that is never deleted is harmless. A claim may
 * be added by several instances, since a delete of an object that is gone changes nothing.
 */
public class ClaimPruner(
    private val rules: KeyRules,
    private val settings: PruneSettings = PruneSettings(),
) {
    private class Pending(
        val prunableAfter: Instant,
        val claim: PrunableClaim,
    )

    private val pending = PriorityQueue<Pending>(compareBy { it.prunableAfter })
    private var tokens = 0.0
    private var lastRefill: Instant? = null

    /** The number of claims that wait to be deleted. */
    public val size: Int get() = pending.size

    /** The number of claims that were not noted because the limit of pending claims was reached. */
    public var dropped: Long = 0
        private set

    /** Notes the claim of [key] as it is stored; a key that carries no time is never pruned. */
    public fun add(
        key: IdempotencyKey,
        claim: PrunableClaim,
    ) {
        val prunableAfter = rules.prunableAfter(key) ?: return
        if (pending.size >= settings.maxPending) {
            dropped++
            return
        }
        pending += Pending(prunableAfter, claim)
    }

    /** Returns the claims to delete at wall-clock time [at], oldest first, within the allowed rate. */
    public fun due(at: Instant): List<PrunableClaim> {
        val elapsed = lastRefill?.let { at - it } ?: Duration.ZERO
        lastRefill = at
        val capacity = settings.deletesPerSecond * settings.burst.inWholeMilliseconds / MILLIS
        val refilled = tokens + settings.deletesPerSecond * elapsed.inWholeMilliseconds / MILLIS
        // A wall clock that is set back does not take allowance away for long, nor does one set ahead add much.
        tokens = refilled.coerceIn(0.0, capacity)
        val claims = ArrayList<PrunableClaim>()
        while (tokens >= 1) {
            val next = pending.peek() ?: break
            if (at <= next.prunableAfter) break
            claims += pending.remove().claim
            tokens--
        }
        return claims
    }

    private companion object {
        const val MILLIS = 1_000.0
    }
}
