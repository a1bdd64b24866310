package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against streams with neither a length nor chunks that pass as complete although they end inside an event. */
class UnframedStreamTest {
    private val relay = RelayFixture()
    private val endpoints = ArrayList<ScriptedEndpoint>()

    @AfterEach
    fun close() {
        relay.close()
        endpoints.forEach { it.close() }
    }

    private fun serve(vararg scripts: ScriptedConnection.(ReceivedRequest) -> Unit) {
        val targets =
            scripts.mapIndexed {
                i,
                script,
                ->
                ScriptedEndpoint("e${i + 1}") { request, _ -> script(request) }
            }
        endpoints += targets
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        val registrations = targets.mapIndexed { i, it -> it.registration(RelayFixture.allLayers, zone = "z${i + 1}") }
        relay.register(*registrations.toTypedArray())
    }

    private fun ScriptedConnection.answer(
        request: ReceivedRequest,
        text: String,
    ) {
        write(Scripts.streamHead(request).replace("Transfer-Encoding: chunked\r\n", "") + text)
        close()
    }

    private fun events(range: IntRange) = range.joinToString("") { Scripts.event(it) }

    @ParameterizedTest(name = "{0} bytes of the last event")
    @MethodSource("cuts")
    fun `a first run that ends inside an event is resumed`(bytes: Int) {
        serve(
            { request -> answer(request, events(1..2) + Scripts.event(3).take(bytes)) },
            { request -> answer(request, events(3..4)) },
        )
        val answer = relay.call()

        val isWhole = bytes == 0 || bytes == LAST.length
        val expected = if (!isWhole) events(1..4) else events(1..2) + LAST.take(bytes)
        expectThat(answer.body.removeSuffix("0")).isEqualTo(expected)
        expectThat(answer.isComplete).isTrue()
    }

    @ParameterizedTest(name = "{0} bytes of the last event")
    @MethodSource("cuts")
    fun `a resumed run that ends inside an event does not complete the answer`(bytes: Int) {
        serve(
            { request ->
                write(Scripts.streamHead(request) + Scripts.chunk(events(1..1)))
                Thread.sleep(RESET_DELAY_MILLIS)
                reset()
            },
            { request -> answer(request, events(2..2) + Scripts.event(3).take(bytes)) },
        )
        val answer = relay.call(headers = mapOf("Time-Left" to "900"))

        val isWhole = bytes == 0 || bytes == LAST.length
        val expected = if (isWhole) events(1..2) + LAST.take(bytes) else events(1..2)
        expectThat(answer.body.removeSuffix("0")).isEqualTo(expected)
        expectThat(answer.isComplete).isEqualTo(isWhole)
    }

    @ParameterizedTest(name = "HTTP/{0}")
    @ValueSource(strings = ["1.0", "1.1"])
    fun `callers of each version can tell a stream that breaks off from a whole one`(version: String) {
        serve({ request -> answer(request, events(1..2) + ": note\n\n") }, { it -> answer(it, "") })
        expectThat(isWhole(version)).isTrue()
        serve({ request -> answer(request, events(1..2) + "id: 3\n") }, { it -> answer(it, "id: 3\n") })
        expectThat(isWhole(version)).isFalse()
    }

    private fun isWhole(version: String): Boolean =
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", mapOf("Time-Left" to "900", "Connection" to "close"), "body", "HTTP/$version")
            val answer = caller.readAll()
            if (version == "1.0") answer.end == ConnectionEnd.CLOSED else answer.isComplete
        }

    @Test
    fun `a call without a length is whole at its end and not after a reset`() {
        val call = { request: ReceivedRequest -> Scripts.whole(request, "answer").replace("Content-Length: 6\r\n", "") }
        val targets =
            listOf(
                ScriptedEndpoint("e1") { request, _ ->
                    write(call(request))
                    Thread.sleep(RESET_DELAY_MILLIS)
                    if (request["Request-Name"] == "whole") close() else reset()
                },
            )
        endpoints += targets
        relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT, maxAttempts = 1))
        relay.register(*targets.map { it.registration() }.toTypedArray())

        val whole = relay.call(headers = mapOf("Request-Name" to "whole"))
        expectThat(whole.status to whole.body).isEqualTo(200 to "answer")
        expectThat(relay.call(headers = mapOf("Request-Name" to "reset")).status).isEqualTo(502)
    }

    private companion object {
        const val RESET_DELAY_MILLIS = 50L
        val LAST = Scripts.event(3)

        @JvmStatic
        fun cuts(): List<Int> = (0..LAST.length).toList()
    }
}
