package oriolespindle.core.lease

import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.id.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One lease and the times of its holder. */
public data class LeaseSettings(
    public val self: InstanceId,
    public val key: ObjectKey = ObjectKey(ObjectKind.LEASE, "orders"),
    public val duration: Duration = 15.seconds,
    public val renewInterval: Duration = 4.seconds,
    /** Covers clocks whose rates differ by up to 5% over one duration, on each side. */
    public val margin: Duration = 1.seconds,
    public val pollInterval: Duration = 2.seconds,
    /** The longest time for which an order of the former holder may still take effect. */
    public val maxOrderTime: Duration = 5.seconds,
    /** Keeps candidates from writing at the same time when a lease expires. */
    public val rankDelay: Duration = 2.seconds,
    /** A timer that is served later than this means that the process was paused. */
    public val pauseLimit: Duration = 3.seconds,
) {
    init {
        require(margin + maxOrderTime + renewInterval < duration) {
            "a lease of $duration leaves no time for an order of $maxOrderTime between renewals every $renewInterval"
        }
    }
}
