package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConcurrencyLimitsTest {
    private val path = EndpointId("e")
    private val objective = 500.milliseconds

    /**
     * A path that processes the prompts of its streams one at a time.
     *
     * The first event of a stream follows once its prompt has been read, which takes [readTime] after the previous one.
     */
    private class LoadedPath(
        private val readTime: Duration,
    ) {
        var now = Timestamp.ZERO
        private var freeAt = Timestamp.ZERO

        fun begin(): Duration {
            freeAt = maxOf(freeAt, now) + readTime
            return freeAt - now
        }
    }

    /** Runs streams of all instances through one path; returns the fractions that began in time and were refused. */
    private fun replay(
        perSecond: Int,
        limited: Boolean,
        instanceCount: Int = 3,
    ): Pair<Double, Double> {
        val instances = List(instanceCount) { ConcurrencyLimits().apply { this.instances = instanceCount } }
        val load = LoadedPath(readTime = 40.milliseconds)
        val ends = ArrayList<Triple<Timestamp, ConcurrencyLimits, Duration>>()
        var inTime = 0
        var refused = 0
        val total = perSecond * 30
        repeat(total) { number ->
            load.now = Timestamp.ZERO + 1.seconds * number / perSecond
            ends.filter { it.first <= load.now }.forEach { (at, limits, latency) ->
                limits.onFirstEvent(at, path, latency, objective)
                limits.onStreamEnded(at, path)
            }
            ends.removeIf { it.first <= load.now }
            val limits = instances[number % instances.size]
            if (limited && !limits.canStart(load.now, path)) {
                refused++
                return@repeat
            }
            val latency = load.begin()
            limits.onStreamStarted(load.now, path)
            ends += Triple(load.now + latency, limits, latency)
            if (latency <= objective) inTime++
        }
        return inTime.toDouble() / total to refused.toDouble() / total
    }

    @Test
    fun `guards against serving all streams late when a path is overloaded`() {
        val capacity = 25.0 / 40
        val (inTime, _) = replay(perSecond = 40, limited = true)
        val (unlimited, _) = replay(perSecond = 40, limited = false)

        expectThat(inTime).isGreaterThanOrEqualTo(0.8 * capacity)
        expectThat(inTime).isGreaterThan(2 * unlimited)
    }

    @Test
    fun `serves what a path can serve in time when many instances share it`() {
        val capacity = 25.0 / 40
        val (inTime, _) = replay(perSecond = 40, limited = true, instanceCount = 19)

        expectThat(inTime).isGreaterThanOrEqualTo(0.8 * capacity)
    }

    @Test
    fun `does not refuse streams of many instances that a path can serve in time`() {
        val (inTime, refused) = replay(perSecond = 20, limited = true, instanceCount = 19)

        expectThat(refused == 0.0).isTrue()
        expectThat(inTime == 1.0).isTrue()
    }

    @Test
    fun `guards against refusing streams that a path can serve in time`() {
        val (inTime, refused) = replay(perSecond = 20, limited = true)

        expectThat(refused == 0.0).isTrue()
        expectThat(inTime == 1.0).isTrue()
    }

    @Test
    fun `guards against an endpoint that stays closed after its streams have ended`() {
        val limits = ConcurrencyLimits()
        repeat(40) { limits.onStreamStarted(Timestamp.ZERO, path) }
        val end = Timestamp.ZERO + 40.seconds
        repeat(40) { limits.onFirstEvent(Timestamp.ZERO + 1.seconds * it, path, 2.seconds, objective) }
        expectThat(limits.canStart(end, path)).isFalse()
        repeat(40) { limits.onStreamEnded(end, path) }

        expectThat(limits.canStart(end + 3.seconds, path)).isTrue()
    }

    @Test
    fun `guards against a limit that stays low after another endpoint was found to be the cause`() {
        val limits = ConcurrencyLimits()
        repeat(20) { limits.onStreamStarted(Timestamp.ZERO, path) }
        (1..5).forEach { limits.onFirstEvent(Timestamp.ZERO + it.seconds / 2, path, 2.seconds, objective) }
        val now = Timestamp.ZERO + 3.seconds
        expectThat(limits.canStart(now, path)).isFalse()

        limits.onDelayedElsewhere(now, path)

        expectThat(limits.canStart(now, path)).isTrue()
    }
}
