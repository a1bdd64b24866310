package oriolespindle.router.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.placement.LayerOrder
import oriolespindle.core.relay.EndpointDirectory
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.runtime.monotonicNow
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class GatedEnginesTest {
    private val directory = EndpointDirectory()
    private val endpoint =
        RelayEndpoint(EndpointId("a"), ServiceId("s"), "10.0.0.1:80", ZoneId("z"), startedAt = 1, slots = 4)
    private val calls = ArrayList<String>()
    private val engines = GatedEngines(RecordingEngines(), directory)

    private fun place(): PlaceResult? {
        var placed: PlaceResult? = null
        engines.place(LayerOrder(endpoint, RelayFixture.allLayers), acceptedOrders = 0, fence = 1) { placed = it }
        return placed
    }

    @Test
    fun `guards against an order to an endpoint that began to leave after it was chosen`() {
        directory.put(endpoint)
        expectThat(place()).isEqualTo(PlaceResult.ACCEPTED)
        directory.onLeaving(endpoint)

        expectThat(place()).isEqualTo(PlaceResult.REJECTED)
        expectThat(calls).containsExactly("place")
    }

    @Test
    fun `guards against control calls to an endpoint that asked for a pause`() {
        directory.put(endpoint)
        directory.onPauseRequested(monotonicNow(), endpoint, 30.seconds)
        val results = ArrayList<Any?>()
        results += place()
        engines.acceptedOrders(endpoint) { results += it }
        engines.pace(endpoint) { results += it }
        engines.stalledAt(endpoint, "r1") { results += it }

        expectThat(results.toList()).containsExactly(PlaceResult.REJECTED, null, null, StallReport.NotAsked)
        expectThat(calls.toList()).isEmpty()
    }

    private inner class RecordingEngines : EngineCalls {
        override fun place(
            order: LayerOrder,
            acceptedOrders: Long,
            fence: Long,
            result: (PlaceResult) -> Unit,
        ) {
            calls += "place"
            result(PlaceResult.ACCEPTED)
        }

        override fun acceptedOrders(
            endpoint: RelayEndpoint,
            result: (Long?) -> Unit,
        ) {
            calls += "acceptedOrders"
            result(1)
        }

        override fun pace(
            endpoint: RelayEndpoint,
            result: (Double?) -> Unit,
        ) {
            calls += "pace"
            result(1.0)
        }

        override fun stalledAt(
            first: RelayEndpoint,
            requestId: String,
            result: (StallReport) -> Unit,
        ) {
            calls += "stalledAt"
            result(StallReport.NoAnswer)
        }
    }
}
