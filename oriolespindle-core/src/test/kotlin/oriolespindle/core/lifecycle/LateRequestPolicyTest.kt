package oriolespindle.core.lifecycle

import org.junit.jupiter.api.Test
import oriolespindle.core.id.ServiceId
import oriolespindle.core.relay.AnswerDurations
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.util.Random
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that are accepted during a shutdown and cut off when the process is killed. */
class LateRequestPolicyTest {
    private val policy = LateRequestPolicy()

    private fun accepts(
        stoppingFor: Duration,
        recent: List<Duration>?,
        limit: Duration = 20.seconds,
        endAfter: Duration? = 7_700.milliseconds,
        mayRepeat: Boolean = true,
        readyElsewhere: Double = 0.0,
    ): Boolean {
        val request =
            LateRequest(limit, mayRepeat) { time ->
                recent?.let {
                    it.count { d -> d <= time } /
                        it.size.toDouble()
                }
            }
        return policy.accepts(request, stoppingFor, endAfter?.minus(stoppingFor), readyElsewhere)
    }

    private val streams = listOf(1, 2, 2, 6).map { it.seconds }
    private val calls = List(4) { 20.milliseconds }

    @Test
    fun `without another instance an answer that is likely to be complete is begun until the traffic has moved`() {
        expectThat(accepts(2.seconds, streams)).isTrue()
        expectThat(accepts(2.seconds, listOf(1, 6, 6, 6).map { it.seconds })).isFalse()
    }

    @Test
    fun `an answer that may be cut is not begun if a refused caller finds another instance`() {
        val mostlyShort = List(8) { 2.seconds } + List(2) { 6.seconds }
        expectThat(accepts(2.seconds, mostlyShort, readyElsewhere = 1.0)).isFalse()
        expectThat(accepts(2.seconds, mostlyShort, readyElsewhere = 0.5)).isTrue()
        expectThat(accepts(2.seconds, List(9) { 2.seconds } + 6.seconds, readyElsewhere = 1.0)).isTrue()
        expectThat(accepts(2.seconds, calls, readyElsewhere = 1.0)).isTrue()
    }

    @Test
    fun `once the traffic has moved only a request whose limit ends before the instance is begun`() {
        expectThat(accepts(2_500.milliseconds, streams)).isFalse()
        expectThat(accepts(2_500.milliseconds, calls)).isFalse()
        expectThat(accepts(2_500.milliseconds, streams, limit = 5.seconds)).isTrue()
        expectThat(accepts(7.seconds, calls, limit = 600.milliseconds)).isTrue()
        expectThat(accepts(7.seconds, calls, limit = 800.milliseconds)).isFalse()
    }

    @Test
    fun `an answer of unknown duration is begun only before the traffic has moved and without another instance`() {
        expectThat(accepts(2.seconds, recent = null)).isTrue()
        expectThat(accepts(2.seconds, recent = null, readyElsewhere = 0.5)).isFalse()
        expectThat(accepts(2_500.milliseconds, recent = null)).isFalse()
        expectThat(accepts(2.seconds, recent = null, mayRepeat = false)).isFalse()
    }

    @Test
    fun `an answer that cannot be asked for again is begun only if all recent ones fit in`() {
        expectThat(accepts(2.seconds, streams, mayRepeat = false)).isFalse()
        expectThat(accepts(1.seconds, calls, mayRepeat = false)).isTrue()
    }

    @Test
    fun `nothing is begun when no time is left`() {
        expectThat(accepts(1.seconds, recent = null, endAfter = 1.seconds)).isFalse()
        expectThat(accepts(2.seconds, calls, endAfter = 1.seconds)).isFalse()
    }

    @Test
    fun `every request is accepted if the process is not killed`() {
        expectThat(accepts(60.seconds, streams, endAfter = null)).isTrue()
        expectThat(accepts(60.seconds, recent = null, endAfter = null)).isTrue()
    }

    /** Streams like those of issue 31: median 1.6 s, 90th percentile 4.2 s, longest 8.5 s. */
    private fun streamDuration(random: Random) =
        minOf(MEDIAN_MILLIS * exp(SIGMA * random.nextGaussian()), LONGEST_MILLIS).milliseconds

    private class Counts(
        var accepted: Int = 0,
        var cut: Int = 0,
    )

    /** Plays [REQUESTS] streams with limits of up to 20 s that arrive within [arrivals]; a limit ends its stream. */
    private fun play(
        arrivals: ClosedRange<Duration>,
        readyElsewhere: Double,
    ): Counts {
        val random = Random(SEED)
        val durations = AnswerDurations()
        val counts = Counts()
        repeat(REQUESTS) {
            repeat(NEW_ANSWERS) { durations.onEnded("r", service, streamDuration(random)) }
            val stoppingFor = arrivals.start + (arrivals.endInclusive - arrivals.start) * random.nextDouble()
            val timeLeft = 7_500.milliseconds - stoppingFor
            val limit = (300 + random.nextInt(19_700)).milliseconds
            val request = LateRequest(limit, mayRepeat = true) { durations.shareWithin("r", service, it) }
            val duration = minOf(streamDuration(random), limit)
            if (policy.accepts(request, stoppingFor, timeLeft, readyElsewhere)) {
                counts.accepted++
                if (duration > timeLeft) counts.cut++
            }
        }
        return counts
    }

    @Test
    fun `no stream that arrives once the traffic has moved is cut`() {
        val counts = play(2_500.milliseconds..7_500.milliseconds, readyElsewhere = 0.0)

        expectThat(counts.accepted).isGreaterThan(0)
        expectThat(counts.cut).isEqualTo(0)
    }

    @Test
    fun `fewer streams are cut while other instances are ready`() {
        val alone = play(Duration.ZERO..2_500.milliseconds, readyElsewhere = 0.0)
        val besideReady = play(Duration.ZERO..2_500.milliseconds, readyElsewhere = 1.0)

        expectThat(alone.accepted).isEqualTo(REQUESTS)
        expectThat(alone.cut).isGreaterThan(0)
        expectThat(besideReady.accepted).isGreaterThan(0)
        expectThat(besideReady.cut).isLessThan(alone.cut)
    }

    private companion object {
        const val SEED = 31L
        const val REQUESTS = 10_000
        const val NEW_ANSWERS = 8
        const val MEDIAN_MILLIS = 1_580.0
        const val SIGMA = 0.76
        const val LONGEST_MILLIS = 8_500.0
        val service = ServiceId("s")
    }
}
