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
 * Until the load balancer has moved its traffic, a request that callers may repeat is accepted if the median answer
 * fits into the time that is left: a refusal costs each of these callers a retry, and so does an answer that is cut.
 * Afterwards, and for requests that callers may not repeat, the longest recent answer must fit in with a margin.
 */
public class LateRequestPolicy(
    private val settings: LateRequestSettings = LateRequestSettings(),
) {
    /**
     * Returns whether a request is accepted that arrives [stoppingFor] after the shutdown was requested and [timeLeft]
     * before requests in flight are ended; a null [timeLeft] means that they never are.
     *
     * A null [expected] means that nothing is known about the duration of such answers. [mayRepeat] tells whether the
     * caller may send the request again after its answer was cut off.
     */
    public fun accepts(
        stoppingFor: Duration,
        timeLeft: Duration?,
        expected: AnswerDuration?,
        mayRepeat: Boolean,
    ): Boolean {
        if (timeLeft == null) return true
        if (timeLeft <= Duration.ZERO) return false
        val isStrict = stoppingFor >= settings.redirectedAfter
        if (expected == null) return !isStrict
        val needed = if (isStrict || !mayRepeat) expected.longest * settings.longestFactor else expected.median
        return needed <= timeLeft
    }
}
