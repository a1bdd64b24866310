package oriolespindle.core.claim

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A claim to delete if it still has [version]. */
public data class PrunableClaim(
    public val target: ClaimObject,
    public val version: ClaimVersion,
)

/**
 * Settings of [ClaimPruner].
 *
 * Deletes count as platform writes, whose rate is limited for claims. An instance therefore makes at most
 * [deletesPerSecond] on average, with a token bucket that holds the deletes of [burst]. [maxPending] bounds memory at
 * about 20 MB.
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
 * Determines which claims to delete once all instances refuse their keys.
 *
 * Each instance adds the claims that it has finished. The claims of an instance that has ended are found by listing all
 * claims, which one instance does rarely and adds here; a claim that is never deleted is harmless. Several instances
 * may add the same claim, since deleting an object that no longer exists has no effect.
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

    /** The number of claims that are pending deletion. */
    public val size: Int get() = pending.size

    /** The number of claims that were not added because [PruneSettings.maxPending] was reached. */
    public var dropped: Long = 0
        private set

    /** Adds the stored claim of [key]; the claim of a key without a time is ignored, since it is never pruned. */
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

    /** Removes and returns the claims to delete at wall-clock time [at], oldest first, within the allowed rate. */
    public fun due(at: Instant): List<PrunableClaim> {
        val elapsed = lastRefill?.let { at - it } ?: Duration.ZERO
        lastRefill = at
        val capacity = settings.deletesPerSecond * settings.burst.inWholeMilliseconds / MILLIS
        val refilled = tokens + settings.deletesPerSecond * elapsed.inWholeMilliseconds / MILLIS
        // The bounds limit the effect of a wall clock that is set back or ahead.
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
