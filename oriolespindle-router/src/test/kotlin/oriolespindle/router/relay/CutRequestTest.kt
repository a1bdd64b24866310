package oriolespindle.router.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

/** Guards against a request that is passed on although its caller stopped in the middle of its head or body. */
class CutRequestTest {
    private enum class End { CLOSE, RESET, HALF_CLOSE }

    @Test
    fun `passes on only a request that has arrived as a whole`() {
        val head = "POST /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Name: n1\r\nAuthorization: Bearer key\r\n"
        val requests =
            listOf(
                "${head}Content-Length: 4\r\n\r\nbody",
                "${head}Transfer-Encoding: chunked\r\n\r\n${Scripts.chunk("body")}${Scripts.LAST_CHUNK}",
            )
        ScriptedEndpoint("e1") { request, _ -> write(Scripts.whole(request, "whole")) }.use { endpoint ->
            RelayFixture().use { relay ->
                relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT))
                relay.register(endpoint.registration())
                requests.forEach { request ->
                    relay.sendCuts(request)
                    relay.sendWhole(request)
                }
            }
            expectThat(endpoint.requests.map { it.body }).isEqualTo(requests.map { "body" })
        }
    }

    private fun RelayFixture.sendWhole(request: String) =
        connect().use { caller ->
            caller.sendRaw(request)
            caller.readSome()
        }

    private fun RelayFixture.sendCuts(request: String) {
        for (length in request.indices) End.entries.forEach { sendCut(request.take(length), it) }
    }

    private fun RelayFixture.sendCut(
        text: String,
        end: End,
    ) = connect().use { caller ->
        caller.sendRaw(text)
        when (end) {
            End.CLOSE -> {
                Unit
            }

            End.RESET -> {
                caller.reset()
            }

            End.HALF_CLOSE -> {
                caller.closeOutput()
                // Waits until the relay has read all requests so far.
                expectThat(caller.readAll().status in SUCCESS).isFalse()
            }
        }
    }

    private companion object {
        val SUCCESS = 200..299
    }
}
