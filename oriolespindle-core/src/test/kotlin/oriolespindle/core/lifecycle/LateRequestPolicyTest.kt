package oriolespindle.core.lifecycle

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that are accepted during a shutdown and cut off when the process is killed. */
class LateRequestPolicyTest {
    private val policy = LateRequestPolicy()
    private val stream = AnswerDuration(median = 2.seconds, longest = 6.seconds)
    private val call = AnswerDuration(median = 20.milliseconds, longest = 200.milliseconds)

    private fun accepts(
        stoppingFor: Duration,
        expected: AnswerDuration?,
        endAfter: Duration? = 7_700.milliseconds,
        mayRepeat: Boolean = true,
    ) = policy.accepts(stoppingFor, endAfter?.minus(stoppingFor), expected, mayRepeat)

    @Test
    fun `an answer that is likely to be complete is begun until the load balancer has moved its traffic`() {
        expectThat(accepts(2.seconds, stream)).isTrue()
        expectThat(accepts(2.seconds, AnswerDuration(median = 6.seconds, longest = 9.seconds))).isFalse()
    }

    @Test
    fun `afterwards only an answer that is as good as certain to be complete is begun`() {
        expectThat(accepts(2.5.seconds, stream)).isFalse()
        expectThat(accepts(2.5.seconds, AnswerDuration(median = 2.seconds, longest = 4.seconds))).isTrue()
        expectThat(accepts(4.seconds, AnswerDuration(median = 2.seconds, longest = 4.seconds))).isFalse()
        expectThat(accepts(7.seconds, call)).isTrue()
        expectThat(accepts(7.6.seconds, call)).isFalse()
    }

    @Test
    fun `an answer of unknown duration is begun only before the load balancer has moved its traffic`() {
        expectThat(accepts(2.seconds, expected = null)).isTrue()
        expectThat(accepts(2.5.seconds, expected = null)).isFalse()
    }

    @Test
    fun `an answer that cannot be asked for again is begun only if the longest one fits in`() {
        expectThat(accepts(1.seconds, stream, mayRepeat = false)).isFalse()
        expectThat(accepts(1.seconds, call, mayRepeat = false)).isTrue()
    }

    @Test
    fun `nothing is begun when no time is left`() {
        expectThat(accepts(1.seconds, expected = null, endAfter = 1.seconds)).isFalse()
        expectThat(accepts(2.seconds, expected = call, endAfter = 1.seconds)).isFalse()
    }

    @Test
    fun `every request is accepted if the process is not killed`() {
        expectThat(accepts(60.seconds, stream, endAfter = null)).isTrue()
        expectThat(accepts(60.seconds, expected = null, endAfter = null)).isTrue()
    }

    private val Double.seconds: Duration get() = (this * 1_000).milliseconds
}
