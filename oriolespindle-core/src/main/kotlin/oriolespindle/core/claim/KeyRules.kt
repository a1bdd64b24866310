package oriolespindle.core.claim

import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** The result of checking the key of a non-idempotent call. */
public sealed interface KeyDecision {
    /** The call must be claimed under [key] before it is sent. */
    public data class Claim(
        public val key: IdempotencyKey,
    ) : KeyDecision

    /** The call has no key, and the contract allows sending it once, without a claim and without a retry. */
    public data object SendOnce : KeyDecision

    /** The call is refused before anything is written or sent. */
    public data class Refused(
        public val outcome: CallOutcome.NotRun,
    ) : KeyDecision
}

/**
 * The rules for the keys of one team's non-idempotent calls.
 *
 * A claim whose key contains a time may be pruned once all instances refuse the key. Pruning waits for [retention] plus
 * [clockMargin], because an instance whose wall clock is late accepts the key for that much longer. A key without a
 * time is never pruned, since its claim is the only thing that prevents an old key from running again.
 *
 * A retry is answered from the stored claim until its key has the age [retention]. This is a setting of the whole fleet
 * and not of a contract, because raising it would make keys acceptable again whose claims were pruned under the shorter
 * retention. [maxFuture] is how far a caller's clock may be ahead; a key from further ahead would outlive its claim.
 */
public data class KeyRules(
    public val retention: Duration = 24.hours,
    public val maxFuture: Duration = 5.minutes,
    public val clockMargin: Duration = 1.hours,
    public val allowKeysWithoutTime: Boolean = false,
    public val allowCallsWithoutKey: Boolean = false,
) {
    init {
        require(retention > Duration.ZERO) { "retention is $retention, must be positive" }
        require(maxFuture >= Duration.ZERO) { "maxFuture is $maxFuture, must not be negative" }
        require(clockMargin > Duration.ZERO) { "clockMargin is $clockMargin, must be positive" }
    }

    /** Checks the `Idempotency-Key` header [text], null when absent, of a call that arrives at wall-clock time [at]. */
    public fun check(
        text: String?,
        at: Instant,
    ): KeyDecision {
        if (text == null) return checkMissingKey()
        val key =
            IdempotencyKey.parseOrNull(text)
                ?: return refused(RefusalReason.KEY_INVALID, "the idempotency key is malformed")
        val time = key.time
        return when {
            time == null && allowKeysWithoutTime -> KeyDecision.Claim(key)
            time == null -> refused(RefusalReason.KEY_INVALID, "the idempotency key must be a UUID of version 7")
            at - time > retention -> refused(RefusalReason.KEY_EXPIRED, "the idempotency key is older than $retention")
            time - at > maxFuture -> refused(RefusalReason.KEY_INVALID, "the idempotency key's time is in the future")
            else -> KeyDecision.Claim(key)
        }
    }

    /** Returns the time after which the claim of [key] can be deleted without letting the key run again, or null. */
    public fun prunableAfter(key: IdempotencyKey): Instant? = key.time?.let { it + retention + clockMargin }

    /** Returns whether the claim of [key] can be deleted at wall-clock time [at]. */
    public fun isPrunable(
        key: IdempotencyKey,
        at: Instant,
    ): Boolean = prunableAfter(key)?.let { at > it } ?: false

    private fun checkMissingKey(): KeyDecision =
        if (allowCallsWithoutKey) {
            KeyDecision.SendOnce
        } else {
            refused(RefusalReason.KEY_REQUIRED, "a non-idempotent call needs an Idempotency-Key header")
        }

    private fun refused(
        reason: RefusalReason,
        message: String,
    ) = KeyDecision.Refused(CallOutcome.NotRun(reason, message))
}
