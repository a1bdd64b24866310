package oriolespindle.core.lifecycle

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long the answers to requests of one kind take. */
public data class AnswerDuration(
    /** Half of the recent answers took at most this long. */
    public val median: Duration,
    /** No recent answer took longer than this. */
    public val longest: Duration,
)

/**
 * Settings of [LateRequestPolicy].
 *
 * @property redirectedAfter when the load balancer is expected to have moved its traffic to instances that are ready.
 * @property longestFactor the factor by which an answer may take longer than any recent one.
 */
public data class LateRequestSettings(
    public val redirectedAfter: Duration = 2_500.milliseconds,
    public val longestFactor: Double = 1.25,
)

/**
 * Decides which requests an instance accepts during its shutdown.
 *
 * Until the load balancer has moved its traffic, a request is accepted if its answer is more likely than not to be complete
 * in time: a refusal costs every caller a retry, and a caller whose answer is cut off needs no more than that.
 * Afterwards only few requests arrive, and one is accepted only if its answer is as good as certain to be complete.
 */
public class LateRequestPolicy(
    private val settings: LateRequestSettings = LateRequestSettings(),
) {
    /**
     * Returns whether a request is accepted that arrives [stoppingFor] after the shutdown was requested and [timeLeft]
     * before requests in flight are ended; a null [timeLeft] means that they never are.
     *
     * A null [expected] means that nothing is known about the duration of such answers.
     */
    public fun accepts(
        stoppingFor: Duration,
        timeLeft: Duration?,
        expected: AnswerDuration?,
    ): Boolean {
        if (timeLeft == null) return true
        val isRedirected = stoppingFor >= settings.redirectedAfter
        if (expected == null) return !isRedirected
        val needed = if (isRedirected) expected.longest * settings.longestFactor else expected.median
        return needed <= timeLeft
    }
}
