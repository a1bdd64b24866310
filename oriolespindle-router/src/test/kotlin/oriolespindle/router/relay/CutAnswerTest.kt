package oriolespindle.router.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an answer that breaks off at any byte of its head or body and that callers take for complete. */
class CutAnswerTest {
    @Test
    fun `answers 502 to a call that may run once, and sends it once`() {
        AnswerCase.expectEach(AnswerForm.ofCalls.flatMap { it.cuts() }, RouteKind.NON_IDEMPOTENT) { relay, index, cut ->
            AnswerCase(relay, index, endpoints = 2) { _, _ -> cut.send(this, AnswerCase.REQUEST_ID) }.use { case ->
                val status = case.call(cut.method).status
                val attempts = case.attempts.get()
                "status $status, $attempts attempts".takeUnless { status == 502 && attempts == 1 }
            }
        }
    }

    @Test
    fun `sends a call that may be repeated to another endpoint`() {
        val forms = AnswerForm.ofCalls.filter { it.name in setOf("length", "no length", "HEAD") }
        AnswerCase.expectEach(forms.flatMap { it.cuts() }, RouteKind.IDEMPOTENT) { relay, index, cut ->
            AnswerCase(relay, index, endpoints = 2) { request, attempt ->
                if (attempt == 1) {
                    cut.send(this, AnswerCase.REQUEST_ID)
                } else {
                    write(Scripts.whole(request, if (cut.method == "HEAD") "" else "whole"))
                }
            }.use { case ->
                val answer = case.call(cut.method)
                val isWhole = answer.status == 200 && (cut.method == "HEAD" || answer.body == "whole")
                "status ${answer.status}, ${answer.body}".takeUnless { isWhole && case.attempts.get() == 2 }
            }
        }
    }

    @Test
    fun `answers 502 to a stream that may run once, and sends it once`() {
        AnswerCase.expectEach(AnswerForm.ofStreams.flatMap { it.cuts() }, RouteKind.STREAM) { relay, index, cut ->
            AnswerCase(relay, index, endpoints = 2) { _, _ -> cut.send(this, AnswerCase.REQUEST_ID) }.use { case ->
                val status = case.call(cut.method).status
                val attempts = case.attempts.get()
                "status $status, $attempts attempts".takeUnless { status == 502 && attempts == 1 }
            }
        }
    }

    @Test
    fun `runs a resumable stream at another endpoint`() {
        AnswerCase.expectEach(
            AnswerForm.ofStreams.flatMap { it.cuts() },
            RouteKind.STREAM,
            isResumable = true,
        ) { relay, index, cut ->
            AnswerCase(relay, index, endpoints = 2) { request, attempt ->
                if (attempt == 1) cut.send(this, AnswerCase.REQUEST_ID) else resume(request)
            }.use { case -> case.call(cut.method).describeUnlessWholeStream() }
        }
    }

    @Test
    fun `continues a begun stream at another endpoint`() {
        AnswerCase.expectEach(
            AnswerForm.ofStreams.flatMap { it.cuts() },
            RouteKind.STREAM,
            isResumable = true,
        ) { relay, index, cut ->
            AnswerCase(relay, index, endpoints = 3) { request, attempt ->
                when (attempt) {
                    1 -> {
                        write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)))
                        Thread.sleep(FORWARDED_MILLIS)
                        reset()
                    }

                    2 -> {
                        cut.send(this, AnswerCase.REQUEST_ID)
                    }

                    else -> {
                        resume(request)
                    }
                }
            }.use { case -> case.call(cut.method).describeUnlessWholeStream() }
        }
    }

    @Test
    fun `does not take a reset that is found while the request is sent for the end of the answer`() {
        val endpoint =
            ScriptedEndpoint("e1", readsBody = false) { request, _ ->
                write("HTTP/1.1 200 OK\r\nRequest-Name: ${request["Request-Name"]}\r\nSigned: yes\r\n\r\npart")
                Thread.sleep(FORWARDED_MILLIS)
                reset()
            }
        RelayFixture().use { relay ->
            relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT))
            relay.register(endpoint.registration())
            val answer = relay.call(body = "x".repeat(LARGE_BODY_BYTES))

            expectThat(answer.status).isEqualTo(502)
        }
        endpoint.close()
    }

    private companion object {
        /** The time after which what an endpoint has written has been forwarded. */
        const val FORWARDED_MILLIS = 50L

        /** More than the buffers of both sockets hold. */
        const val LARGE_BODY_BYTES = 4_000_000
    }
}
