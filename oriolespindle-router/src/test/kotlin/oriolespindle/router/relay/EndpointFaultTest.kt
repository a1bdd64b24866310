package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Endpoints that send bytes without end, answer slowly, repeat answers or name no request. */
class EndpointFaultTest {
    private val relay = RelayFixture()
    private val endpoints = ArrayList<ScriptedEndpoint>()

    /** The bytes that each endless answer wrote until the relay closed its connection, or [ENDLESS_BYTES]. */
    private val written = LinkedBlockingQueue<Long>()

    @AfterEach
    fun close() {
        relay.close()
        endpoints.forEach { it.close() }
    }

    private fun endpoint(
        name: String = "e1",
        script: ScriptedConnection.(ReceivedRequest, Int) -> Unit,
    ): ScriptedEndpoint = ScriptedEndpoint(name, script).also { endpoints += it }

    private fun serveCalls(
        kind: RouteKind,
        vararg targets: ScriptedEndpoint,
    ) {
        relay.configure(RelayFixture.route(kind))
        relay.register(*targets.map { it.registration() }.toTypedArray())
    }

    private fun serveStreams(vararg targets: ScriptedEndpoint) {
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        relay.register(
            *targets.mapIndexed { i, it -> it.registration(RelayFixture.allLayers, zone = "z${i + 1}") }.toTypedArray(),
        )
    }

    private fun ScriptedConnection.writeEndlessly(bytes: String) {
        val block = bytes.repeat(BLOCK_BYTES / bytes.length)
        var total = 0L
        try {
            while (total < ENDLESS_BYTES) {
                write(block)
                total += block.length
            }
        } catch (_: IOException) {
            // The relay has closed the connection.
        }
        written += total
    }

    private fun expectBounded() =
        expectThat(written.poll(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull().isLessThan(ENDLESS_BYTES)

    private fun signedHead(
        request: ReceivedRequest,
        status: String = "200 OK",
    ) = "HTTP/1.1 $status\r\nRequest-Name: ${request["Request-Name"]}\r\nSigned: yes\r\n"

    @Test
    fun `ends a call whose answer has a body without end`() {
        val target =
            endpoint { request, number ->
                if (number > 1) return@endpoint write(Scripts.whole(request, "whole"))
                write(signedHead(request) + "\r\n")
                writeEndlessly("x")
            }
        serveCalls(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call().status).isEqualTo(502)
        expectBounded()
        expectThat(relay.call().body).isEqualTo("whole")
    }

    @Test
    fun `ends a call whose answer has a head without end`() {
        val target =
            endpoint { request, _ ->
                write(signedHead(request))
                writeEndlessly("Filler: ${"x".repeat(100)}\r\n")
            }
        serveCalls(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call().status).isEqualTo(502)
        expectBounded()
    }

    @Test
    fun `ends a call that receives line breaks instead of an answer`() {
        serveCalls(RouteKind.NON_IDEMPOTENT, endpoint { _, _ -> writeEndlessly("\r\n") })

        expectThat(relay.call().status).isEqualTo(502)
        expectBounded()
    }

    @Test
    fun `ends a call that receives interim answers without end`() {
        serveCalls(RouteKind.NON_IDEMPOTENT, endpoint { _, _ -> writeEndlessly("HTTP/1.1 102 Processing\r\n\r\n") })

        expectThat(relay.call().status).isEqualTo(502)
        expectBounded()
    }

    @Test
    fun `ends a call that receives answers to other requests without end`() {
        serveCalls(
            RouteKind.NON_IDEMPOTENT,
            endpoint { _, _ ->
                writeEndlessly(Scripts.whole(ReceivedRequest("", mapOf("request-name" to "n9"), ""), "other"))
            },
        )

        expectThat(relay.call().status).isEqualTo(502)
        expectBounded()
    }

    @Test
    fun `ends a stream whose event has no end and resumes it elsewhere`() {
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request).replace("Transfer-Encoding: chunked\r\n", ""))
                write(Scripts.event(1) + "id: 2\ndata: ")
                writeEndlessly("x")
            }
        val second = endpoint("e2") { request, _ -> completeStream(request, 2..3) }
        serveStreams(first, second)

        expectThat(relay.call().body.removeSuffix("0")).isEqualTo((1..3).joinToString("") { Scripts.event(it) })
        expectBounded()
    }

    @Test
    fun `ends a stream whose failure has a body without end`() {
        serveStreams(
            endpoint { request, _ ->
                write(signedHead(request, status = "500 Error") + "\r\n")
                writeEndlessly("x")
            },
        )

        expectThat(relay.call().status).isEqualTo(502)
        expectBounded()
    }

    @Test
    fun `resumes a stream elsewhere when its engine sends only comments`() {
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)))
                repeat(COMMENTS) {
                    Thread.sleep(COMMENT_INTERVAL_MILLIS)
                    write(Scripts.chunk(":\n\n"))
                }
            }
        val second = endpoint("e2") { request, _ -> completeStream(request, 2..3) }
        serveStreams(first, second)
        relay.stallReport = StallReport.NoAnswer
        val answer = relay.call()

        expectThat(answer.isComplete).isTrue()
        expectThat(answer.body.replace(":\n\n", "").removeSuffix("0"))
            .isEqualTo((1..3).joinToString("") { Scripts.event(it) })
    }

    @Test
    fun `keeps a stream whose caller reads slowly`() {
        val data = "x".repeat(LARGE_EVENT_BYTES)
        val engine =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                (1..LARGE_EVENTS).forEach { write(Scripts.chunk("id: $it\ndata: $data\n\n")) }
                write(Scripts.LAST_CHUNK)
            }
        serveStreams(engine, endpoint("e2") { _, _ -> Thread.sleep(SLOW_READER_MILLIS) })
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", mapOf("Connection" to "close"), "body")
            Thread.sleep(SLOW_READER_MILLIS)
            expectThat(caller.readAll().isComplete).isTrue()
        }

        expectThat(endpoints.sumOf { it.requests.size }).isEqualTo(1)
    }

    @Test
    fun `waits for a slow answer when no other endpoint can give one`() {
        val slow =
            endpoint { request, _ ->
                Thread.sleep(SLOW_ANSWER_MILLIS)
                write(Scripts.whole(request, "late"))
            }
        serveCalls(RouteKind.IDEMPOTENT, slow)
        val answer = relay.call(method = "GET", body = "")

        expectThat(answer.status).isEqualTo(200)
        expectThat(answer.body).isEqualTo("late")
        expectThat(slow.requests).hasSize(1)
    }

    @Test
    fun `does not wait for the body of an answer to HEAD`() {
        val head = { request: ReceivedRequest -> Scripts.whole(request, "body").removeSuffix("body") }
        serveCalls(RouteKind.IDEMPOTENT, endpoint { request, _ -> write(head(request)) })

        expectThat(relay.call(method = "HEAD", body = "").status).isEqualTo(200)
    }

    @Test
    fun `does not deliver a success that names no request`() {
        val target =
            endpoint { request, _ -> write(Scripts.whole(request, "x").replace(Regex("Request-Name: .*\r\n"), "")) }
        serveCalls(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call().status).isEqualTo(502)
    }

    private fun ScriptedConnection.completeStream(
        request: ReceivedRequest,
        ids: IntRange,
    ) {
        write(Scripts.streamHead(request))
        ids.forEach { write(Scripts.chunk(Scripts.event(it))) }
        write(Scripts.LAST_CHUNK)
    }

    private companion object {
        const val BLOCK_BYTES = 64 * 1024

        /** More than the relay may take of one answer, with what the buffers of both sockets hold. */
        const val ENDLESS_BYTES = 64L * 1024 * 1024
        const val CLOSE_TIMEOUT_SECONDS = 8L
        const val COMMENTS = 100
        const val COMMENT_INTERVAL_MILLIS = 100L
        const val LARGE_EVENT_BYTES = 64 * 1024
        const val LARGE_EVENTS = 200

        /** Longer than the gap after which a stream that makes no progress is abandoned. */
        const val SLOW_READER_MILLIS = 2_000L

        /** Longer than the silence after which a call is retried elsewhere, which is twice the route's objective. */
        const val SLOW_ANSWER_MILLIS = 900L
    }
}
