package oriolespindle.core.lease

import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.id.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The lease that an instance takes part in and its timing. */
public data class LeaseSettings(
    public val self: InstanceId,
    public val key: ObjectKey = ObjectKey(ObjectKind.LEASE, "orders"),
    /** How long the lease is valid after a write, before [margin] is subtracted or added. */
    public val duration: Duration = 15.seconds,
    /** The interval between renewals, counted from the start of each. */
    public val renewInterval: Duration = 4.seconds,
    /**
     * The safety margin at the end of the lease, by which the holder stops earlier and a candidate acquires later.
     *
     * It covers clocks whose rates differ by up to 5% over one duration, on each side.
     */
    public val margin: Duration = 1.seconds,
    /** The interval between reads of a single candidate; several candidates read less often each. */
    public val pollInterval: Duration = 2.seconds,
    /** The longest time for which an order of the former holder may still take effect. */
    public val maxOrderTime: Duration = 5.seconds,
    /** The delay for each rank, which keeps candidates from writing at the same time when a lease expires. */
    public val rankDelay: Duration = 2.seconds,
    /** The lateness of a timer above which the process is considered to have been paused. */
    public val pauseLimit: Duration = 3.seconds,
) {
    init {
        require(margin + maxOrderTime + renewInterval < duration) {
            "a lease of $duration leaves no time for an order of $maxOrderTime between renewals every $renewInterval"
        }
    }
}
