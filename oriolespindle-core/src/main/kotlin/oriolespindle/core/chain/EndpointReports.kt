package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** Whether an endpoint may receive new work. */
public sealed interface EndpointAvailability {
    /**
     * The endpoint receives the part [weight] of its planned work, which is less than 1 during slow start.
     *
     * @throws IllegalArgumentException if [weight] is not between 0 and 1.
     */
    public data class Serving(
        public val weight: Double = 1.0,
    ) : EndpointAvailability {
        init {
            require(weight in 0.0..1.0) { "weight is $weight, must be between 0 and 1" }
        }
    }

    /** The endpoint finishes its current work and receives no new work. */
    public data object Leaving : EndpointAvailability

    /** The endpoint may have failed; it receives work only when no other chain is available. */
    public data object Suspect : EndpointAvailability

    /** The endpoint has failed. */
    public data object Down : EndpointAvailability
}

/**
 * The load that an endpoint had at [measuredAt] on the clock of this instance.
 *
 * [active] and [queued] count the sessions of all instances. [tokensPerSecond] is the rate at which the endpoint ran;
 * it indicates the endpoint's capacity only if sessions are queued.
 */
public data class LoadReport(
    public val endpoint: EndpointId,
    public val measuredAt: Timestamp,
    public val active: Int,
    public val queued: Int,
    public val tokensPerSecond: Double,
)

/** The one-way latency of a link, measured by an endpoint. */
public data class LinkObservation(
    public val from: EndpointId,
    public val to: EndpointId,
    public val latency: Duration,
)
