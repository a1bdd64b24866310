package oriolespindle.core.stream

import org.junit.jupiter.api.Test
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import java.util.SplittableRandom
import java.util.random.RandomGenerator
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Returns a random gap with a log-normal distribution; its median of 35 ms is the target between tokens. */
internal fun tokenGap(random: RandomGenerator): Duration = 35.milliseconds * exp(0.3 * random.nextGaussian())

/** Feeds [count] tokens; returns the time of the last one and the number of suspicious checks before it. */
internal fun GapDetector.run(
    count: Int,
    gap: (Int) -> Duration,
): Pair<Timestamp, Int> {
    var now = Timestamp.ZERO
    var alarms = 0
    onToken(now)
    repeat(count) { i ->
        val next = now + gap(i)
        if (nextCheck(now) < next && check(nextCheck(now)) is GapVerdict.Suspicious) alarms++
        now = next
        onToken(now)
    }
    return now to alarms
}

internal fun GapDetector.detect(from: Timestamp): Timestamp {
    var now = nextCheck(from)
    while (check(now) == GapVerdict.Normal) now = nextCheck(now)
    return now
}

class GapDetectorTest {
    /** Guards against a fixed timeout, which is too long for a fast chain or too short for a slow or bursty one. */
    @Test
    fun `the limit follows the gaps of each chain and harmless gaps raise few alarms`() {
        val random = SplittableRandom(1)
        val shapes =
            mapOf<String, (Int) -> Duration>(
                "35 ms" to { tokenGap(random) },
                "2 ms" to { tokenGap(random) / 17 },
                "700 ms" to { tokenGap(random) * 20 },
                "bursts of 4 each 140 ms" to { i -> if (i % 4 == 0) tokenGap(random) * 4 else 100.milliseconds / 100 },
            )
        for ((name, gap) in shapes) {
            val detector = GapDetector(GapSettings())
            detector.run(2_000, gap)
            val (last, alarms) = detector.run(100_000, gap)
            val detected = detector.detect(last) - last
            println("FIGURE gaps of $name: silence detected after $detected, $alarms alarms in 100000 gaps")
            // By the percentile of the settings, 1 gap in 1,000 is above it.
            expectThat(alarms).isLessThan(100)
            val longest = List(1_000) { gap(it) }.max()
            expectThat(detected).isIn(longest / 2..maxOf(longest * 4, GapSettings().minLimit * 1.1))
        }
    }

    /** Guards against alarms and long waits while a chain has no measured gaps. */
    @Test
    fun `the initial limit applies until there are enough samples`() {
        val settings = GapSettings()
        val detector = GapDetector(settings)
        detector.onAttemptStarted(Timestamp.ZERO)
        expectThat(detector.check(Timestamp.ZERO + settings.initialFirstTokenLimit)).isEqualTo(GapVerdict.Normal)
        expectThat(detector.check(Timestamp.ZERO + settings.initialFirstTokenLimit * 1.1)).isA<GapVerdict.Suspicious>()

        val (last, _) = detector.run(settings.minSamples / 2) { 1.milliseconds }
        expectThat(detector.check(last + settings.initialLimit)).isEqualTo(GapVerdict.Normal)
        expectThat(detector.check(last + settings.initialLimit * 1.1)).isA<GapVerdict.Suspicious>()
    }

    /** Guards against attributing a slow caller, or a pause of this process, to a healthy chain. */
    @Test
    fun `time without reading is not a gap`() {
        val detector = GapDetector(GapSettings())
        detector.onToken(Timestamp.ZERO)
        val check = detector.nextCheck(Timestamp.ZERO)
        expectThat(detector.check(check + 5.seconds)).isEqualTo(GapVerdict.Normal)
        expectThat(detector.check(check + 10.seconds)).isA<GapVerdict.Suspicious>()

        detector.pause(check + 10.seconds)
        expectThat(detector.check(check + 20.seconds)).isEqualTo(GapVerdict.Normal)
        detector.resume(check + 20.seconds)
        expectThat(detector.check(check + 20.seconds)).isEqualTo(GapVerdict.Normal)
    }
}
