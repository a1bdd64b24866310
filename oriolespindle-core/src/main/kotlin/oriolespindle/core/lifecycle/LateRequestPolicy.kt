package oriolespindle.core.lifecycle

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of [LateRequestPolicy].
 *
 * @property redirectedAfter when the load balancer is expected to have moved its traffic to instances that are ready.
 * @property margin the factor by which an answer may take longer than the recent ones.
 * @property minLikelihood the share of recent answers that must fit even if no other instance is ready.
 * @property cutWorth what an answer is worth that is cut and then repeated or resumed, against one that is complete.
 * @property retryLoss the share of refused callers that get no answer although another instance is ready.
 */
public data class LateRequestSettings(
    public val redirectedAfter: Duration = 2_500.milliseconds,
    public val margin: Double = 1.25,
    public val minLikelihood: Double = 0.5,
    public val cutWorth: Double = 0.5,
    public val retryLoss: Double = 0.05,
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
 * repeated is accepted if that is worth more to its caller than a refusal, and if its answer is more likely than not to
 * be complete in time. One that may not be repeated is accepted only if all recent answers would be complete. An answer
 * of unknown duration is begun only if it may be repeated and no other instance is ready.
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
        val likelihood = likelihood(request, timeLeft) ?: return request.mayRepeat && readyElsewhere == 0.0
        return likelihood >= if (request.mayRepeat) requiredLikelihood(readyElsewhere) else 1.0
    }

    /** The likelihood of a complete answer from which on an accepted request is worth as much as a refused one. */
    private fun requiredLikelihood(readyElsewhere: Double): Double {
        val refusedWorth = readyElsewhere * (1 - settings.retryLoss)
        return maxOf((refusedWorth - settings.cutWorth) / (1 - settings.cutWorth), settings.minLikelihood)
    }

    /** Returns the share of recent answers that would fit into [timeLeft] with the margin; null if none is known. */
    public fun likelihood(
        request: LateRequest,
        timeLeft: Duration,
    ): Double? = request.shareWithin(timeLeft / settings.margin)
}
