package oriolespindle.core.lifecycle

import kotlin.time.Duration

/**
 * The time in which work ends by itself, whatever happens to it.
 *
 * An instance that stops begins no work that it may have to abandon: how long such work usually takes does not tell how
 * long it will take, and its caller can have it done by another instance.
 */
@JvmInline
public value class WorkTimeLimit(
    public val duration: Duration,
) {
    /** Returns whether the work ends before an instance that has [timeLeft]; null means that it has no end. */
    public fun fitsInto(timeLeft: Duration?): Boolean = timeLeft == null || duration <= timeLeft
}
