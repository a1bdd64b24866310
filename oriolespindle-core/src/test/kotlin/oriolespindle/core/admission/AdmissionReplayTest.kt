package oriolespindle.core.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a queue that helps nobody, or the wrong requests, when more arrives than a service can start. */
class AdmissionReplayTest {
    private fun replay(
        seed: Long,
        startsPerSecond: Double,
        hasQueue: Boolean,
        duration: Duration,
        sources: () -> List<Source>,
    ): List<Source> = sources().also { AdmissionReplay(seed, it, startsPerSecond, hasQueue).run(duration) }

    private fun servedShare(sources: List<Source>): Double =
        sources.sumOf { it.served }.toDouble() / sources.sumOf { it.requests }

    private fun describe(
        name: String,
        sources: List<Source>,
    ) = sources.joinToString(prefix = "admission: $name: ") {
        "priority ${it.priority} team ${it.team} %.1f%% served %.1f%% in time of %d"
            .format(100 * it.servedShare, 100 * it.inTimeShare, it.requests)
    }

    /** Three priorities at 90 of 100 starts a second; the least urgent one at 2.3 times its rate from 2 s to 8 s. */
    private fun burst() =
        listOf(
            Source(0, "a", 500.milliseconds) { 30.0 },
            Source(1, "b", 500.milliseconds) { 20.0 },
            Source(2, "c", 1.seconds) { if (it in 2.seconds..8.seconds) 92.0 else 40.0 },
        )

    @Test
    fun `a burst of the least urgent requests delays only these`() {
        for (seed in 1L..3L) {
            val without = replay(seed, 100.0, hasQueue = false, 10.seconds, ::burst)
            val with = replay(seed, 100.0, hasQueue = true, 10.seconds, ::burst)
            println(describe("burst, seed $seed, without the queue", without))
            println(describe("burst, seed $seed, with the queue", with))

            expectThat(with[0].inTimeShare).isGreaterThan(0.99)
            expectThat(with[1].inTimeShare).isGreaterThan(0.97)
            expectThat(without[0].inTimeShare).isLessThan(0.9)
            expectThat(with.sumOf { it.inTime }).isGreaterThan(without.sumOf { it.inTime })
            expectThat(with[2].servedShare).isGreaterThan(servedShare(with) / 4)
        }
    }

    /** Five teams with the same share of 100 starts a second; one demands ten times its share, the others 80%. */
    private fun largeTeam() =
        listOf(Source(1, "large", 500.milliseconds) { 200.0 }) +
            List(4) { i -> Source(1, "t$i", 500.milliseconds) { 16.0 } }

    @Test
    fun `a large team at ten times its share does not take the starts of the others`() {
        for (seed in 1L..3L) {
            val without = replay(seed, 100.0, hasQueue = false, 10.seconds, ::largeTeam)
            val with = replay(seed, 100.0, hasQueue = true, 10.seconds, ::largeTeam)
            println(describe("large team, seed $seed, without the queue", without))
            println(describe("large team, seed $seed, with the queue", with))

            for (small in 1..4) {
                expectThat(with[small].inTimeShare).isGreaterThan(0.9)
                expectThat(with[small].inTimeShare).isGreaterThan(2 * without[small].inTimeShare)
            }
            expectThat(with.sumOf { it.served }).isGreaterThanOrEqualTo(without.sumOf { it.served } * 98 / 100)
            expectThat(with[0].servedShare).isGreaterThan(servedShare(with) / 4)
        }
    }
}
