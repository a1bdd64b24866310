package oriolespindle.core.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of a monotonic clock, in nanoseconds from an arbitrary origin.
 *
 * Readings of different processes have different origins and must not be compared.
 */
@JvmInline
public value class Timestamp(
    public val nanos: Long,
) : Comparable<Timestamp> {
    public operator fun plus(duration: Duration): Timestamp = Timestamp(nanos + duration.inWholeNanoseconds)

    public operator fun minus(duration: Duration): Timestamp = Timestamp(nanos - duration.inWholeNanoseconds)

    /** Returns the time from [other] to this reading; it is negative if [other] is later. */
    public operator fun minus(other: Timestamp): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: Timestamp): Int = nanos.compareTo(other.nanos)

    public companion object {
        /** The origin; tests in virtual time start from it. */
        public val ZERO: Timestamp = Timestamp(0)
    }
}
