package oriolespindle.core.lifecycle

import org.junit.jupiter.api.Test
import oriolespindle.core.chain.EndpointAvailability
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointLifecycleTest {
    private val start = Timestamp.ZERO
    private val endpoint = EndpointId("e")
    private val lifecycle = EndpointLifecycle()

    private fun list(
        version: Long,
        state: PlatformState,
        at: Timestamp = start,
    ) = lifecycle.onPlatformList(at, version, listOf(PlatformEntry(endpoint, state)))

    private fun state(at: Timestamp = start) = lifecycle.state(at, endpoint)

    @Test
    fun `an older or lagging list does not bring a leaving endpoint back`() {
        list(5, PlatformState.LIVE)
        expectThat(state()).isEqualTo(EndpointAvailability.Serving(1.0))
        lifecycle.onEndpointAnswer(start, endpoint, draining = true)
        lifecycle.onEndpointAnswer(start, endpoint, draining = false)
        list(6, PlatformState.LIVE)
        expectThat(state()).isEqualTo(EndpointAvailability.Leaving)
        expectThat(lifecycle.leavingSources(endpoint)).isEqualTo(setOf(LeavingSource.ENDPOINT))
        list(8, PlatformState.GONE)
        list(7, PlatformState.LIVE)
        lifecycle.onEndpointAnswer(start, endpoint, draining = false)
        expectThat(state()).isEqualTo(EndpointAvailability.Down)
    }

    @Test
    fun `a new incarnation goes through slow start`() {
        list(1, PlatformState.LEAVING)
        list(2, PlatformState.GONE)
        list(3, PlatformState.LIVE)

        expectThat(state()).isEqualTo(EndpointAvailability.Serving(0.1))
        expectThat(state(start + 5.seconds)).isEqualTo(EndpointAvailability.Serving(0.5))
        expectThat(state(start + 11.seconds)).isEqualTo(EndpointAvailability.Serving(1.0))
    }

    @Test
    fun `a late answer of an earlier incarnation does not bring a leaving endpoint back`() {
        list(1, PlatformState.LIVE)
        lifecycle.onEndpointAnswer(start, endpoint, draining = true, incarnation = "a")
        lifecycle.onEndpointAnswer(start, endpoint, draining = false, incarnation = "b")
        expectThat(state()).isEqualTo(EndpointAvailability.Serving(0.1))
        lifecycle.onEndpointAnswer(start, endpoint, draining = true, incarnation = "b")
        lifecycle.onEndpointAnswer(start, endpoint, draining = false, incarnation = "a")
        expectThat(state()).isEqualTo(EndpointAvailability.Leaving)
    }

    @Test
    fun `an older withdrawal does not end an operator's drain`() {
        list(1, PlatformState.LIVE)
        lifecycle.onOperatorDrain(start, endpoint, version = 9, draining = true)
        lifecycle.onOperatorDrain(start, endpoint, version = 8, draining = false)
        expectThat(state()).isEqualTo(EndpointAvailability.Leaving)
        lifecycle.onOperatorDrain(start, endpoint, version = 10, draining = false)
        expectThat(state()).isEqualTo(EndpointAvailability.Serving(0.1))
    }

    @Test
    fun `an endpoint that any source has reported as leaving gets no new work`() {
        val random = SplittableRandom(1)
        var servedAfterLeaving = 0
        var served = 0
        repeat(2_000) {
            val seeded = EndpointLifecycle()
            var actualState = PlatformState.LIVE
            var leavingReported = false
            val lists = ArrayList<Pair<Long, PlatformState>>()
            for (step in 1..60) {
                val now = start + (step * 100).milliseconds
                if (random.nextInt(20) == 0 &&
                    actualState != PlatformState.GONE
                ) {
                    actualState = PlatformState.entries[actualState.ordinal + 1]
                }
                lists += step.toLong() to actualState
                // The list that arrives is up to 20 versions old, and answers of the endpoint may be lost or late.
                val (version, listed) = lists[maxOf(0, lists.size - 1 - random.nextInt(20))]
                if (random.nextInt(3) == 0) {
                    seeded.onPlatformList(now, version, listOf(PlatformEntry(endpoint, listed)))
                    leavingReported = leavingReported || listed != PlatformState.LIVE
                }
                if (random.nextInt(3) == 0) {
                    val draining = actualState != PlatformState.LIVE && random.nextInt(2) == 0
                    seeded.onEndpointAnswer(now, endpoint, draining)
                    leavingReported = leavingReported || draining
                }
                val serving = seeded.state(now, endpoint) is EndpointAvailability.Serving
                if (serving && leavingReported) servedAfterLeaving++
                if (serving) served++
            }
        }
        println("lifecycle: 2000 seeded sequences, $served steps served, $servedAfterLeaving after leaving was known")

        expectThat(servedAfterLeaving).isEqualTo(0)
        expectThat(served).isGreaterThan(10_000)
    }
}
