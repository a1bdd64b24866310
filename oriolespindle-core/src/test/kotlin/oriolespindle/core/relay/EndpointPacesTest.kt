package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.placement.LayerPath
import oriolespindle.core.placement.ModelFleet
import oriolespindle.core.placement.PathFinder
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointPacesTest {
    private val start = Timestamp.ZERO + 1.seconds
    private val engine = EndpointId("e")
    private val paces = EndpointPaces()

    @Test
    fun `guards against avoiding an endpoint forever, and against avoiding it for ordinary variation of its pace`() {
        paces.onReport(start, engine, 12.0)
        expectThat(paces.factor(start + 1.seconds, engine)).isEqualTo(12.0)
        expectThat(paces.slowEndpoints(start + 1.seconds)).containsExactly(engine)
        expectThat(paces.factor(start + 4.seconds, engine)).isEqualTo(1.0)

        paces.onReport(start + 4.seconds, engine, 1.2)
        expectThat(paces.factor(start + 4.seconds, engine)).isEqualTo(1.0)
        expectThat(paces.slowEndpoints(start + 4.seconds)).isEmpty()
    }

    @Test
    fun `guards against a flood of queries while all streams are late`() {
        val suspects = List(100) { EndpointId("e$it") }
        val queried = (0 until 1_000).flatMap { millis -> paces.selectForQuery(start + millis.milliseconds, suspects) }

        expectThat(queried).hasSize(PaceSettings().maxQueriesPerSecond)
        expectThat(paces.selectForQuery(start + 1.seconds, queried)).hasSize(PaceSettings().maxQueriesPerSecond)
        expectThat(paces.selectForQuery(start + 1_100.milliseconds, queried)).isEmpty()
    }

    @Test
    fun `guards against an instance that stops querying while the monotonic clock is negative`() {
        val suspects = List(100) { EndpointId("e$it") }
        val early = Timestamp.ZERO - 60.seconds
        val queried = (0 until 5).flatMap { second -> paces.selectForQuery(early + second.seconds, suspects) }

        expectThat(queried).hasSize(5 * PaceSettings().maxQueriesPerSecond)
    }

    /**
     * Replays 20 streams per second of one zone while an engine in the middle of its best path is 12 times slower.
     *
     * A stream through the slow engine begins after 2 s, which its instance detects after 350 ms; other streams begin
     * after 60 ms. Returns the number of late streams.
     */
    private fun replay(isQueried: Boolean): Int {
        val finder = PathFinder(ZoneId("a"))
        val fleet = ModelFleet.placed()
        val slow = checkNotNull(path(finder, fleet, start)).parts[1].endpoint.id
        val lateStreams = ArrayDeque<Pair<Timestamp, LayerPath>>()
        var late = 0
        var now = start
        while (now < start + REPLAY_TIME) {
            while (lateStreams.isNotEmpty() && lateStreams.first().first <= now) {
                val parts = lateStreams.removeFirst().second.parts
                if (isQueried) {
                    paces.selectForQuery(now, parts.map { it.endpoint.id }).forEach { id ->
                        paces.onReport(now, id, if (id == slow) 12.0 else 1.0)
                    }
                }
            }
            val path = checkNotNull(path(finder, fleet, now))
            if (path.parts.any { it.endpoint.id == slow }) {
                late++
                lateStreams.addLast(now + DETECTION_DELAY to path)
            }
            now += STREAM_INTERVAL
        }
        return late
    }

    private fun path(
        finder: PathFinder,
        fleet: List<RelayEndpoint>,
        now: Timestamp,
    ) = finder.find(ModelFleet.model, fleet, load = { 0.0 }, pace = { paces.factor(now, it) })

    @Test
    fun `guards against streams that stay on a path after its middle endpoint turns slow`() {
        // Streams are late until the first one is detected, and again each time a report expires.
        val maxLate = 3 * ((DETECTION_DELAY / STREAM_INTERVAL).toInt() + 2)

        expectThat(replay(isQueried = true)).isLessThanOrEqualTo(maxLate)
    }

    @Test
    fun `guards against a replay whose streams are in time even without queries`() {
        expectThat(replay(isQueried = false)).isGreaterThan((REPLAY_TIME / STREAM_INTERVAL).toInt() - 1)
    }

    private companion object {
        val REPLAY_TIME: Duration = 9.seconds
        val STREAM_INTERVAL = 50.milliseconds
        val DETECTION_DELAY = 350.milliseconds
    }
}
