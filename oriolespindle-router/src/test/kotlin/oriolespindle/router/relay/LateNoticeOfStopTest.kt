package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.relay.RouteKind
import oriolespindle.router.runtime.monotonicNow
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that are cut by the kill because the event loop noticed the signal late. */
class LateNoticeOfStopTest {
    private val endpoint = ScriptedEndpoint("e1") { request, _ -> write(Scripts.whole(request, "answer")) }
    private val relay =
        RelayFixture(ShutdownSettings(2.seconds, 2.seconds, acceptAtMost = 4.seconds, grace = 8.seconds))

    @AfterEach
    fun close() {
        relay.close()
        endpoint.close()
    }

    @Test
    fun `the time left counts from the signal`() {
        relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT))
        relay.register(endpoint.registration())
        relay.connect().use { caller ->
            relay.shutDown(requestedAt = monotonicNow() - 7_450.milliseconds)
            caller.send("POST", "/r/x", mapOf("Connection" to "close"), "body")
            val answer = caller.readAll()

            expectThat(answer.status).isEqualTo(503)
            expectThat(answer.body).contains("stopping")
        }
    }
}
