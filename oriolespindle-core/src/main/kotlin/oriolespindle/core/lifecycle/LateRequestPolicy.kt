package oriolespindle.core.lifecycle

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of [LateRequestPolicy].
 *
 * @property redirectedAfter when the load balancer is expected to have moved its traffic to instances that are ready.
 * @property margin the factor by which an answer may take longer than the recent ones.
 * @property minLikelihood the share of recent answers that must fit even if no other instance is ready.
 */
public data class LateRequestSettings(
    public val redirectedAfter: Duration = 2_500.milliseconds,
    public val margin: Double = 1.25,
    public val minLikelihood: Double = 0.5,
)

/** A request that arrives during the shutdown of an instance. */
public data class LateRequest(
    /** The time until the request ends in any case, by the caller's deadline or the timeout of its route. */
    public val limit: Duration,
    /** Whether the caller may send the request again after its answer was cut off. */
    public val mayRepeat: Boolean,
    /** Returns the share of comparable recent answers that took at most the given time; null if none is known. */
    public val shareWithin: (Duration) -> Double?,
)

/**
 * Decides which requests an instance accepts during its shutdown.
 *
 * A request whose own time limit ends before the instance is always accepted. Once the load balancer has moved its
 * traffic, no other one is: recent answers do not tell how long the next one takes. Before that, a request that may be
 * repeated is accepted if its answer is as likely to be complete in time as a refused caller is to reach an instance
 * that is ready; one that may not be repeated is accepted only if all recent answers would be complete.
 */
public class LateRequestPolicy(
    private val settings: LateRequestSettings = LateRequestSettings(),
) {
    /**
     * Returns whether [request] is accepted that arrives [stoppingFor] after the shutdown was requested and [timeLeft]
     * before requests in flight are ended; a null [timeLeft] means that they never are.
     *
     * [readyElsewhere] is the share of the other instances that are ready, from 0 to 1.
     */
    public fun accepts(
        request: LateRequest,
        stoppingFor: Duration,
        timeLeft: Duration?,
        readyElsewhere: Double,
    ): Boolean {
        if (timeLeft == null || request.limit <= timeLeft) return true
        if (timeLeft <= Duration.ZERO || stoppingFor >= settings.redirectedAfter) return false
        val likelihood = request.shareWithin(timeLeft / settings.margin) ?: return readyElsewhere == 0.0
        val required = if (request.mayRepeat) maxOf(readyElsewhere, settings.minLikelihood) else 1.0
        return likelihood >= required
    }
}
