package oriolespindle.core.order

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The times and rates of carrying out orders. */
public data class OrderSettings(
    /** After this time an engine does not begin an order; it matches the lease's longest order. */
    public val orderTtl: Duration = 5.seconds,
    /** An order that could not be written this soon after the decision is not sent. */
    public val sendTimeout: Duration = 1.seconds,
    /** How often an endpoint without work is read back, so that a late order of a former holder is found. */
    public val verifyInterval: Duration = 30.seconds,
    /** How often an endpoint that carries out an order is read back. */
    public val recheckInterval: Duration = 1.seconds,
    public val readTimeout: Duration = 2.seconds,
    /** The first pause after an order that had no effect; it doubles up to [maxBackoff]. */
    public val initialBackoff: Duration = 500.milliseconds,
    public val maxBackoff: Duration = 30.seconds,
    public val weightStoreBytesPerSecond: Long = 2_000_000_000,
    /** Bounds the burst of reads when a successor takes over 1,500 endpoints. */
    public val maxConcurrentReads: Int = 64,
)
