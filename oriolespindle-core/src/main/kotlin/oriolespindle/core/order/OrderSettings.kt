package oriolespindle.core.order

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The times and rates of carrying out orders. */
public data class OrderSettings(
    /** After this time an engine does not begin an order; it matches the lease's longest order. */
    public val longestOrder: Duration = 5.seconds,
    /** An order that could not be written this soon after the decision is not sent. */
    public val sendWithin: Duration = 1.seconds,
    /** How often an endpoint without work is read back, so that a late order of a former holder is found. */
    public val verifyEvery: Duration = 30.seconds,
    /** How often an endpoint that carries out an order is read back. */
    public val recheckEvery: Duration = 1.seconds,
    public val readTimeout: Duration = 2.seconds,
    /** The first pause after an order that had no effect; it doubles up to [longestRetry]. */
    public val firstRetry: Duration = 500.milliseconds,
    public val longestRetry: Duration = 30.seconds,
    public val storeBytesPerSecond: Long = 2_000_000_000,
    /** Bounds the burst of reads when a successor takes over 1,500 endpoints. */
    public val mostReads: Int = 64,
)
