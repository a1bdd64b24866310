package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/** Errors of the relay's own code, which must not leave a request without an answer. */
class UnexpectedErrorTest {
    private val relay = RelayFixture()
    private val endpoint = ScriptedEndpoint("e1") { _, _ -> Thread.sleep(SILENCE_MILLIS) }

    @AfterEach
    fun close() {
        relay.close()
        endpoint.close()
    }

    /** The request was not sent anywhere, so it certainly did not run. */
    @Test
    fun `an error before the first attempt closed the connection without an answer`() {
        relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT))
        relay.register(endpoint.registration(null, zone = "z1").copy(address = "no address"))

        val answer = relay.call()

        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.body).contains("not_run")
    }

    /** The endpoint has received the request, so it may run. */
    @Test
    fun `an error in a timer left its stream without an end until the timeout of its route`() {
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        relay.register(endpoint.registration(RelayFixture.allLayers, zone = "z1"))
        relay.beforeStallReport = { error("the report cannot be handled") }

        val answer = relay.call()

        expectThat(answer.status).isEqualTo(502)
        expectThat(answer.body).contains("unknown")
    }

    private companion object {
        /** Longer than the timeout of the route. */
        const val SILENCE_MILLIS = 10_000L
    }
}
