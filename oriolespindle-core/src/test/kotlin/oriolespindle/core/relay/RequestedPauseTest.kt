package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An endpoint refuses a request and asks for no further ones for a time. */
class RequestedPauseTest {
    private val start = Timestamp.ZERO
    private val service = ServiceId("s")
    private val directory = EndpointDirectory()
    private val endpoint = endpoint("a")

    private fun endpoint(
        id: String,
        startedAt: Long = 1,
    ) = RelayEndpoint(EndpointId(id), service, "10.0.0.1:80", ZoneId("z"), startedAt, slots = 4)

    private fun usable(at: Timestamp) = directory.usable(at, service).map { it.id.value }

    @Test
    fun `guards against sending to an endpoint before the end of the pause that it asked for`() {
        directory.put(endpoint)
        directory.onPauseRequested(start, endpoint, 5.seconds)

        expectThat(usable(start + 4_999.milliseconds)).isEmpty()
        expectThat(directory.isInUse(start + 4_999.milliseconds, endpoint)).isFalse()
        expectThat(directory.registered(start, service)).containsExactly(endpoint)
        expectThat(usable(start + 5.seconds)).containsExactly("a")
        expectThat(directory.isInUse(start + 5.seconds, endpoint)).isTrue()
    }

    @Test
    fun `guards against a pause that a success, a shorter pause or a registration ends`() {
        directory.put(endpoint)
        directory.onPauseRequested(start, endpoint, 5.seconds)
        directory.onPauseRequested(start + 1.seconds, endpoint, 100.milliseconds)
        directory.onSuccess(endpoint.id, sentAt = start - 1.seconds)
        directory.onSuccess(endpoint.id, sentAt = start + 1.seconds)
        directory.replaceAll(start + 1.seconds, listOf(endpoint.copy(slots = 5)))
        expectThat(usable(start + 4.seconds)).isEmpty()

        directory.onPauseRequested(start + 4.seconds, endpoint, 2.seconds)
        expectThat(usable(start + 5.seconds)).isEmpty()
        expectThat(usable(start + 6.seconds)).containsExactly("a")
    }

    @Test
    fun `guards against a pause that binds another process of the endpoint`() {
        directory.put(endpoint)
        directory.onPauseRequested(start, endpoint, 5.seconds)
        directory.put(endpoint("a", startedAt = 2))
        expectThat(usable(start)).containsExactly("a")

        directory.onPauseRequested(start, endpoint, 5.seconds)
        expectThat(usable(start)).containsExactly("a")
    }

    @Test
    fun `guards against losing an endpoint to an absurd pause`() {
        directory.put(endpoint)

        expectThat(directory.onPauseRequested(start, endpoint, 365.days)).isEqualTo(60.seconds)
        expectThat(usable(start + 59.seconds)).isEmpty()
        expectThat(usable(start + 60.seconds)).containsExactly("a")
    }

    @Test
    fun `guards against an estimate that is over before the endpoint may receive requests`() {
        directory.put(endpoint)
        directory.onPauseRequested(start, endpoint, 2.seconds)
        directory.onFailure(start + 1_950.milliseconds, endpoint.id)

        expectThat(directory.paused(start, service).values.toList()).containsExactly(2_050.milliseconds)
        directory.onLeaving(endpoint)
        expectThat(directory.paused(start, service).keys).isEmpty()
    }
}
