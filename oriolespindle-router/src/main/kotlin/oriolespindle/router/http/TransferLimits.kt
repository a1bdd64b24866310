package oriolespindle.router.http

import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * How long a response that has begun may take beyond the timeout of its call.
 *
 * A large response on a slow link takes longer than a sound peer needs to begin one. Without more time it would be
 * given up and requested again without end.
 */
public data class TransferLimits(
    /** The longest time without a further byte. */
    public val maxGap: Duration,
    /** The longest time beyond the timeout, also for a peer that sends a byte now and then. */
    public val maxExtension: Duration,
) {
    /** Returns how much longer a call may take whose timeout was [due] and whose last byte came at [receivedAt]. */
    internal fun timeLeft(
        due: Timestamp,
        receivedAt: Timestamp,
        now: Timestamp,
    ): Duration = minOf(receivedAt + maxGap, due + maxExtension) - now
}
