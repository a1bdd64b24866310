package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointSelectorTest {
    private val start = Timestamp.ZERO
    private val near = endpoint("near", "z1")
    private val far = endpoint("far", "z2")
    private val both = listOf(far, near)
    private val selector = EndpointSelector(ZoneId("z1"))

    private fun endpoint(
        id: String,
        zone: String,
    ) = RelayEndpoint(EndpointId(id), ServiceId("s"), "10.0.0.1:80", ZoneId(zone), startedAt = 1, slots = 6)

    private fun choose(
        at: Timestamp = start,
        avoid: Set<EndpointId> = emptySet(),
    ) = selector.choose(at, both, avoid)?.id?.value

    private fun recordAnswers(
        endpoint: RelayEndpoint,
        latency: Duration,
        failed: Boolean = false,
        count: Int = 10,
    ) = repeat(count) {
        selector.onRequestStarted(endpoint.id)
        selector.onRequestEnded(start, endpoint.id, latency, failed)
    }

    @Test
    fun `guards against sending requests to another zone without need`() {
        expectThat(choose()).isEqualTo("near")
        expectThat(choose(avoid = setOf(near.id))).isEqualTo("far")
        expectThat(choose(avoid = setOf(near.id, far.id))).isNull()
    }

    @Test
    fun `guards against staying with an endpoint that turned slow, and against never returning to it`() {
        recordAnswers(near, 250.milliseconds)
        recordAnswers(far, 20.milliseconds)

        expectThat(choose()).isEqualTo("far")
        expectThat(choose(at = start + 3.seconds)).isEqualTo("near")
    }

    @Test
    fun `guards against an endpoint that attracts requests because it fails fast`() {
        recordAnswers(near, 5.milliseconds, failed = true)
        recordAnswers(far, 20.milliseconds)

        expectThat(choose()).isEqualTo("far")
    }

    @Test
    fun `guards against a queue at one endpoint while another is free`() {
        repeat(12) { selector.onRequestStarted(near.id) }

        expectThat(choose()).isEqualTo("far")
    }
}
