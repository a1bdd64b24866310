package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/** A stream has begun when its endpoint breaks it off, and the endpoint that should resume it does something else. */
class BrokenStreamTest {
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

    private fun serve(
        vararg targets: ScriptedEndpoint,
        maxAttempts: Int = 2,
    ) {
        val route = RelayFixture.route(RouteKind.STREAM, isResumable = true, maxAttempts = maxAttempts)
        relay.configure(route, model = RelayFixture.model)
        relay.register(
            *targets.mapIndexed { i, it -> it.registration(RelayFixture.allLayers, zone = "z${i + 1}") }.toTypedArray(),
        )
    }

    @Test
    fun `does not refuse a stream after its first events when its endpoint declares not to have run it`() {
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request).replace("Signed", "Not-Run: 1\r\nSigned"))
                write(Scripts.chunk(Scripts.event(1)) + Scripts.LAST_CHUNK)
            }
        serve(first, endpoint("e2") { request, _ -> write(Scripts.refused(request)) }, maxAttempts = 1)
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", mapOf("Time-Left" to "800"), "body")
            val answer = caller.readAll(timeoutMillis = OPEN_CONNECTION_MILLIS)

            expectThat(answer.text).not { contains("event 1") }
            expectThat(answer.status).isEqualTo(503)
        }
    }

    private companion object {
        const val OPEN_CONNECTION_MILLIS = 2_000
    }
}
