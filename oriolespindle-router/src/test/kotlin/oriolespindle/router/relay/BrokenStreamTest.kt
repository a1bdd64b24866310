package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

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

    private fun ScriptedConnection.breakOff(request: ReceivedRequest) {
        write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)) + Scripts.chunk(Scripts.event(2)))
        Thread.sleep(RESET_DELAY_MILLIS)
        reset()
    }

    private fun resumeWith(answer: String): RawAnswer {
        val second =
            endpoint("e2") { request, _ ->
                write(answer.replace("NAME", request["Request-Name"].orEmpty()))
                close()
            }
        serve(endpoint("e1") { request, _ -> breakOff(request) }, second)
        return relay.call(headers = mapOf("Time-Left" to "800"))
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("otherAnswers")
    fun `neither joins another answer to a begun stream nor ends the stream as complete`(second: OtherAnswer) {
        val answer = resumeWith(second.text)

        expectThat(answer.status).isEqualTo(200)
        expectThat(answer.body).isEqualTo(Scripts.event(1) + Scripts.event(2))
        expectThat(answer.isComplete).isFalse()
    }

    @Test
    fun `completes a stream whose resumed run has no events left`() {
        val answer = resumeWith("$SIGNED${EVENT_STREAM}Transfer-Encoding: chunked\r\n\r\n${Scripts.LAST_CHUNK}")

        expectThat(answer.body.removeSuffix("0")).isEqualTo(Scripts.event(1) + Scripts.event(2))
        expectThat(answer.isComplete).isTrue()
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

    @Test
    fun `tells a reset from the end of a stream that ends with its connection`() {
        val first =
            endpoint("e1") { request, _ ->
                write(unframedHead(request) + Scripts.event(1) + Scripts.event(2))
                Thread.sleep(RESET_DELAY_MILLIS)
                reset()
            }
        serve(first, endpoint("e2") { request, _ -> resumeWithoutLength(request) })
        val answer = relay.call()

        expectThat(answer.body.removeSuffix("0")).isEqualTo((1..4).joinToString("") { Scripts.event(it) })
        expectThat(answer.isComplete).isTrue()
    }

    @Test
    fun `does not forward an error page that follows the events of a stream without a length`() {
        val first =
            endpoint("e1") { request, _ ->
                write(unframedHead(request) + Scripts.event(1) + Scripts.event(2))
                write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\nerror\n\n")
                close()
            }
        serve(first, endpoint("e2") { request, _ -> resumeWithoutLength(request) })

        expectThat(relay.call().body.removeSuffix("0")).isEqualTo((1..4).joinToString("") { Scripts.event(it) })
    }

    private fun unframedHead(request: ReceivedRequest) =
        Scripts.streamHead(request).replace("Transfer-Encoding: chunked\r\n", "")

    private fun ScriptedConnection.resumeWithoutLength(request: ReceivedRequest) {
        write(unframedHead(request) + Scripts.event(3) + Scripts.event(4))
        close()
    }

    @Test
    fun `sends a stream to an HTTP 1_0 caller without chunks`() {
        val target =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)) + Scripts.LAST_CHUNK)
            }
        serve(target)
        val answer = callWithOldVersion()

        expectThat(answer.rawBody).isEqualTo(Scripts.event(1))
        expectThat(answer.end).isEqualTo(ConnectionEnd.CLOSED)
    }

    @Test
    fun `resets the connection of an HTTP 1_0 caller whose stream breaks off`() {
        serve(endpoint("e1") { request, _ -> breakOff(request) }, maxAttempts = 1)

        expectThat(callWithOldVersion().end).isEqualTo(ConnectionEnd.RESET)
    }

    private fun callWithOldVersion() =
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", mapOf("Time-Left" to "800"), "body", version = "HTTP/1.0")
            caller.readAll()
        }

    /** A second answer that is no continuation of the stream. */
    class OtherAnswer(
        private val name: String,
        val text: String,
    ) {
        override fun toString(): String = name
    }

    private companion object {
        const val RESET_DELAY_MILLIS = 50L
        const val OPEN_CONNECTION_MILLIS = 2_000
        const val EVENT_STREAM = "Content-Type: text/event-stream\r\n"
        const val SIGNED = "HTTP/1.1 200 OK\r\nRequest-Name: NAME\r\nSigned: e2\r\n"
        const val FRESH_EVENT = "id: 3\ndata: error\n\n"

        fun sized(
            head: String,
            body: String,
        ) = "${head}Content-Length: ${body.length}\r\n\r\n$body"

        @JvmStatic
        fun otherAnswers(): List<OtherAnswer> {
            val failed = SIGNED.replace("200 OK", "500 Error")
            return listOf(
                OtherAnswer("a signed error", sized(failed, "error\n\n")),
                OtherAnswer("an unsigned error", sized("HTTP/1.1 502 Bad Gateway\r\n", "<p>error</p>\n\n")),
                OtherAnswer("an error that looks like an event", sized(failed + EVENT_STREAM, FRESH_EVENT)),
                OtherAnswer(
                    "a refusal",
                    sized("HTTP/1.1 503 Full\r\nRequest-Name: NAME\r\nNot-Run: 1\r\n", "full\n\n"),
                ),
                OtherAnswer("bytes that are no answer", "error\n\n$FRESH_EVENT"),
                OtherAnswer(
                    "a success without a signature",
                    sized("HTTP/1.1 200 OK\r\nRequest-Name: NAME\r\n", FRESH_EVENT),
                ),
                OtherAnswer(
                    "another request's stream",
                    sized(SIGNED.replace("NAME", "n9") + EVENT_STREAM, FRESH_EVENT),
                ),
                OtherAnswer("an encoded body", sized("$SIGNED${EVENT_STREAM}Content-Encoding: gzip\r\n", FRESH_EVENT)),
                OtherAnswer("events without ids", sized(SIGNED + EVENT_STREAM, "data: error\n\n")),
                OtherAnswer("a cut event", sized(SIGNED + EVENT_STREAM, "id: 3\ndata: err")),
                OtherAnswer("a text", sized("${SIGNED}Content-Type: text/plain\r\n", "error\n\n")),
                OtherAnswer("an empty text", sized("${SIGNED}Content-Type: text/plain\r\n", "")),
                OtherAnswer("events of another type", sized("${SIGNED}Content-Type: text/plain\r\n", FRESH_EVENT)),
                OtherAnswer("no content", "${SIGNED.replace("200 OK", "204 No Content")}\r\n"),
                OtherAnswer("a comment", sized(SIGNED + EVENT_STREAM, ": error\n\n")),
                OtherAnswer("a head without a body", "$SIGNED$EVENT_STREAM\r\n"),
            )
        }
    }
}
