package oriolespindle.router.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import oriolespindle.router.relay.AnswerCase.Companion.REQUEST_ID
import oriolespindle.router.relay.AnswerCase.Companion.expectEach
import strikt.api.expectThat
import strikt.assertions.contains

/** Guards against an answer whose head is not valid HTTP/1.1 and that callers get as an answer. */
class BrokenHeadTest {
    private fun expectSingleFailure(
        kind: RouteKind,
        answers: List<NamedAnswer>,
    ) = expectEach(answers, kind) { relay, index, broken ->
        AnswerCase(relay, index, endpoints = 2) { _, _ -> send(broken) }.use { case ->
            val answer = case.call("POST")
            val attempts = case.attempts.get()
            "${answer.text.take(SHOWN_CHARS)}, $attempts attempts".takeUnless { answer.status == 502 && attempts == 1 }
        }
    }

    private fun ScriptedConnection.send(broken: NamedAnswer) {
        write(broken.text)
        close()
    }

    @Test
    fun `answers 502 to a call that may run once, and sends it once`() =
        expectSingleFailure(RouteKind.NON_IDEMPOTENT, calls)

    @Test
    fun `sends a call that may be repeated to another endpoint`() =
        expectEach(calls, RouteKind.IDEMPOTENT) { relay, index, broken ->
            AnswerCase(relay, index, endpoints = 2) { request, attempt ->
                if (attempt == 1) send(broken) else write(Scripts.whole(request, "whole"))
            }.use { case ->
                val answer = case.call("POST")
                val isWhole = answer.status == 200 && answer.body == "whole" && case.attempts.get() == 2
                answer.text.take(SHOWN_CHARS).takeUnless { isWhole }
            }
        }

    @Test
    fun `answers 502 to a stream that may run once, and sends it once`() =
        expectSingleFailure(RouteKind.STREAM, streams)

    @Test
    fun `runs a resumable stream at another endpoint`() =
        expectEach(streams, RouteKind.STREAM, isResumable = true) { relay, index, broken ->
            AnswerCase(relay, index, endpoints = 2) { request, attempt ->
                if (attempt == 1) send(broken) else resume(request)
            }.use { case -> case.call("POST").describeUnlessWholeStream() }
        }

    @Test
    fun `continues a begun stream at another endpoint`() =
        expectEach(streams, RouteKind.STREAM, isResumable = true) { relay, index, broken ->
            AnswerCase(relay, index, endpoints = 3) { request, attempt ->
                when (attempt) {
                    1 -> {
                        write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)))
                        Thread.sleep(FORWARDED_MILLIS)
                        reset()
                    }

                    2 -> {
                        send(broken)
                    }

                    else -> {
                        resume(request)
                    }
                }
            }.use { case -> case.call("POST").describeUnlessWholeStream() }
        }

    @Test
    fun `accepts no answer behind a broken interim head`() {
        val interim = BrokenHead.all.map { NamedAnswer("interim $it", it.answer("Link: </x>\r\n")) }
        expectSingleFailure(
            RouteKind.NON_IDEMPOTENT,
            interim.map { NamedAnswer(it.name, it.text.replace("200 O", "103 O") + soundCall) },
        )
    }

    @Test
    fun `accepts no answer with a broken trailer`() {
        val trailers =
            BrokenHead.names.map { head ->
                val body = "${Scripts.chunk("body")}0\r\n${head.trailer()}"
                NamedAnswer("trailer $head", "HTTP/1.1 200 OK\r\n$FIELDS$CHUNKED\r\n$body")
            }
        expectSingleFailure(RouteKind.NON_IDEMPOTENT, trailers)
    }

    @Test
    fun `metrics tell the faults of answers and of the attempts that are repeated for them`() {
        val broken = ScriptedEndpoint("e1") { _, _ -> send(NamedAnswer("status", "HTTP/1.1 000 OK\r\n$FIELDS\r\n")) }
        val sound = ScriptedEndpoint("e2") { request, _ -> write(Scripts.whole(request, "whole")) }
        RelayFixture().use { relay ->
            relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT))
            relay.register(broken.registration())
            relay.call()
            relay.register(broken.registration(), sound.registration())
            repeat(CALLS) { relay.call(headers = mapOf("Request-Name" to "n$it"), body = "body $it") }

            expectThat(relay.metrics())
                .contains("oriolespindle_relay_answer_faults_total{fault=\"malformed_status\"}")
                .contains("oriolespindle_relay_retries_total{reason=\"malformed_status\"}")
        }
        broken.close()
        sound.close()
    }

    private class NamedAnswer(
        val name: String,
        val text: String,
    ) {
        override fun toString(): String = name
    }

    private companion object {
        const val SHOWN_CHARS = 200

        /** Enough for the endpoint with broken answers to be chosen. */
        const val CALLS = 10

        /** The time after which what an endpoint has written has been forwarded. */
        const val FORWARDED_MILLIS = 50L
        const val FIELDS = "Request-Name: $REQUEST_ID\r\nSigned: yes\r\n"
        const val LENGTH = "Content-Length: 4\r\n"
        const val CHUNKED = "Transfer-Encoding: chunked\r\n"
        const val STREAM_FIELDS = "${FIELDS}Content-Type: text/event-stream\r\n"
        val soundCall = "HTTP/1.1 200 OK\r\n$FIELDS$LENGTH\r\nbody"
        val calls =
            BrokenHead.all.flatMap { head ->
                listOf(
                    NamedAnswer("$head, length", head.answer(FIELDS, LENGTH, "body")),
                    NamedAnswer(
                        "$head, chunked",
                        head.answer(
                            FIELDS,
                            CHUNKED,
                            Scripts.chunk("body") + Scripts.LAST_CHUNK,
                        ),
                    ),
                    NamedAnswer("$head, no length", head.answer(FIELDS, body = "body")),
                )
            }

        /** Events that no sound answer has, so that they are found in what the caller gets. */
        val wrongEvents = (1..3).joinToString("") { Scripts.chunk(Scripts.event(it).replace("event", "wrong")) }
        val streams =
            BrokenHead.all.map { head ->
                val answer = head.answer(STREAM_FIELDS, CHUNKED, wrongEvents + Scripts.LAST_CHUNK)
                NamedAnswer("$head, stream", answer)
            }
    }
}
