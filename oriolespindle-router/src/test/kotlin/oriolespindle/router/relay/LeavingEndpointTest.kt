package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.config.Revision
import oriolespindle.core.id.EndpointId
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

/** An endpoint tells in an answer that it leaves; later requests must not reach it. */
class LeavingEndpointTest {
    private val relay = RelayFixture()
    private val endpoints = ArrayList<ScriptedEndpoint>()

    @AfterEach
    fun close() {
        relay.close()
        endpoints.forEach { it.close() }
    }

    private fun endpoint(
        name: String,
        script: ScriptedConnection.(ReceivedRequest, Int) -> Unit,
    ): ScriptedEndpoint = ScriptedEndpoint(name, script).also { endpoints += it }

    private fun answer(
        request: ReceivedRequest,
        extra: String = "",
        status: String = "200 OK",
    ) = Scripts.whole(request, "answer", status, extra)

    private fun foreign(extra: String) =
        "HTTP/1.1 200 OK\r\nRequest-Name: other\r\nSigned: yes\r\n${extra}Content-Length: 0\r\n\r\n"

    /** Sends two requests and returns the answer to the first; the second has no other endpoint and must be refused. */
    private fun checkSecondRequest(script: ScriptedConnection.(ReceivedRequest, Int) -> Unit): RawAnswer {
        val only = endpoint("e1", script)
        relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT))
        relay.register(only.registration())
        val answer = relay.call()
        val second = relay.call()
        expectThat(only.requests).hasSize(1)
        expectThat(second.status).isEqualTo(503)
        return answer
    }

    @Test
    fun `guards against sending to an endpoint that leaves by a success`() {
        val answer = checkSecondRequest { request, _ -> write(answer(request, LEAVING)) }

        expectThat(answer.status).isEqualTo(200)
        // Headers of answers are passed on, except for those of one connection.
        expectThat(answer.header("Leaving")).isEqualTo("1")
    }

    @Test
    fun `guards against sending to an endpoint that leaves by a refusal`() {
        checkSecondRequest { request, _ -> write(answer(request, LEAVING + "Not-Run: 1\r\n", "503 Unavailable")) }
    }

    @Test
    fun `guards against sending to an endpoint that leaves by a failure`() {
        checkSecondRequest { request, _ -> write(answer(request, LEAVING, "500 Error")) }
    }

    @Test
    fun `guards against sending to an endpoint that leaves by an answer to another request`() {
        checkSecondRequest { request, _ -> write(foreign(LEAVING) + answer(request)) }
    }

    @Test
    fun `guards against sending to an endpoint that leaves by a stream that is in progress`() {
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request).replaceFirst("\r\n", "\r\n$LEAVING"))
                write(Scripts.chunk(Scripts.event(1)))
            }
        val second =
            endpoint("e2") { request, _ ->
                write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)) + Scripts.LAST_CHUNK)
            }
        relay.configure(RelayFixture.route(RouteKind.STREAM), model = RelayFixture.model)
        relay.register(
            first.registration(RelayFixture.allLayers),
            second.registration(RelayFixture.allLayers, zone = "z2"),
        )
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", emptyMap(), "body")
            first.nextRequest()
            caller.readSome()
            expectThat(relay.call().status).isEqualTo(200)
        }

        expectThat(first.requests).hasSize(1)
    }

    @Test
    fun `guards against avoiding an endpoint for what the former process at its address has answered`() {
        val address =
            endpoint("e1") { request, number -> write((if (number == 2) foreign(LEAVING) else "") + answer(request)) }
        val former = address.registration()
        relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT))
        relay.register(former)
        expectThat(relay.call().status).isEqualTo(200)

        relay.register(former.copy(id = EndpointId("e2"), startedAt = 2))
        repeat(2) { expectThat(relay.call().status).isEqualTo(200) }
    }

    // Its registrations were ignored, since its clock had been set back between the starts of its processes.
    @Test
    fun `guards against sending to an endpoint that leaves after a restart with an earlier start`() {
        val restarted = endpoint("e1") { request, _ -> write(answer(request)) }
        val other = endpoint("e2") { request, _ -> write(answer(request)) }
        val former = restarted.registration().copy(startedAt = 2_000, revision = Revision(1))
        val current = former.copy(startedAt = 500, revision = Revision(2))
        relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT))
        for (registration in listOf(former, current, current.copy(isLeaving = true, revision = Revision(3)))) {
            relay.register(registration, other.registration())
        }
        repeat(4) { expectThat(relay.call().status).isEqualTo(200) }

        expectThat(restarted.requests).hasSize(0)
    }

    private companion object {
        const val LEAVING = "Leaving: 1\r\n"
    }
}
