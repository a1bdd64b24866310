package oriolespindle.core.order

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Timeouts, intervals and limits for carrying out orders. */
public data class OrderSettings(
    /** The time after which an engine no longer begins an order; the lease settings must allow for the same time. */
    public val orderTtl: Duration = 5.seconds,
    /** The time within which an order must be written to the connection; it is not sent later than this. */
    public val sendTimeout: Duration = 1.seconds,
    /** The interval at which the state of an idle endpoint is read, to detect a late order of a former lease holder. */
    public val verifyInterval: Duration = 30.seconds,
    /** The interval at which the state of an endpoint is read while it carries out an order. */
    public val recheckInterval: Duration = 1.seconds,
    /** The time after which a read of an endpoint's state without an answer is given up. */
    public val readTimeout: Duration = 2.seconds,
    /** The first delay before an order that had no effect is retried; it doubles up to [maxBackoff]. */
    public val initialBackoff: Duration = 500.milliseconds,
    /** The upper bound of the exponential backoff. */
    public val maxBackoff: Duration = 30.seconds,
    /** The rate at which all endpoints together may load from the weight store, in bytes per second. */
    public val weightStoreBytesPerSecond: Long = 2_000_000_000,
    /** The maximum number of concurrent reads; it bounds the burst when a successor takes over 1,500 endpoints. */
    public val maxConcurrentReads: Int = 64,
)
