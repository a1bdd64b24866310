package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

/** Guards against requests without any time limit because their deadline is so negative that it overflows. */
class NegativeDeadlineTest {
    private val endpoint = ScriptedEndpoint("e1") { request, _ -> write(Scripts.whole(request, "answer")) }
    private val relay = RelayFixture()

    @AfterEach
    fun close() {
        relay.close()
        endpoint.close()
    }

    @Test
    fun `a request whose deadline has passed is refused, however long ago that was`() {
        relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT))
        relay.register(endpoint.registration())
        for (millis in listOf("-1", "-9300000000000", "${Long.MIN_VALUE}")) {
            expectThat(relay.call(headers = mapOf("Time-Left" to millis)).status).isEqualTo(503)
        }
        expectThat(endpoint.requests).hasSize(0)
    }
}
