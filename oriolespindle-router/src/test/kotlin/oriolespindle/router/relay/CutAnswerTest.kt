package oriolespindle.router.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Guards against an answer that breaks off at any byte of its head or body and that callers take for complete. */
class CutAnswerTest {
    /** One request whose attempts meet [script] in turn, whichever endpoint they reach. */
    private class Case(
        val relay: RelayFixture,
        private val index: Int,
        endpoints: Int,
        script: ScriptedConnection.(ReceivedRequest, attempt: Int) -> Unit,
    ) : AutoCloseable {
        val attempts = AtomicInteger()
        private val endpoints =
            (1..endpoints).map { number ->
                ScriptedEndpoint("e$index-$number") { request, _ -> script(request, attempts.incrementAndGet()) }
            }

        fun call(method: String): RawAnswer {
            relay.register(*endpoints.map { it.registration() }.toTypedArray())
            // One content that breaks off at endpoints that are closed right afterwards would be taken for their cause.
            return relay.call(method, headers = mapOf("Request-Name" to REQUEST_ID), body = "body $index")
        }

        override fun close() = endpoints.forEach { it.close() }
    }

    /** Runs [check] for each of [cuts]; it returns what is wrong, or null. */
    private fun expectEach(
        cuts: List<CutAnswer>,
        kind: RouteKind,
        isResumable: Boolean = false,
        check: (RelayFixture, index: Int, CutAnswer) -> String?,
    ) {
        val left = ConcurrentLinkedQueue(cuts.withIndex().toList())
        val faults = ConcurrentLinkedQueue<String>()
        val workers = Executors.newFixedThreadPool(WORKERS)
        repeat(WORKERS) {
            workers.submit {
                RelayFixture(retryBurst = Int.MAX_VALUE).use { relay ->
                    relay.configure(RelayFixture.route(kind, isResumable, maxAttempts = 3))
                    generateSequence { left.poll() }.forEach { (index, cut) ->
                        val fault = runCatching { check(relay, index, cut) }.getOrElse { it.toString() }
                        if (fault != null) faults += "$cut: $fault"
                    }
                }
            }
        }
        workers.shutdown()
        expectThat(workers.awaitTermination(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(true)
        expectThat(left).isEmpty()
        expectThat(faults.toList()).isEmpty()
    }

    @Test
    fun `answers 502 to a call that may run once, and sends it once`() {
        expectEach(AnswerForm.ofCalls.flatMap { it.cuts() }, RouteKind.NON_IDEMPOTENT) { relay, index, cut ->
            Case(relay, index, endpoints = 2) { _, _ -> cut.send(this, REQUEST_ID) }.use { case ->
                val status = case.call(cut.method).status
                val attempts = case.attempts.get()
                "status $status, $attempts attempts".takeUnless { status == 502 && attempts == 1 }
            }
        }
    }

    @Test
    fun `sends a call that may be repeated to another endpoint`() {
        val forms = AnswerForm.ofCalls.filter { it.name in setOf("length", "no length", "HEAD") }
        expectEach(forms.flatMap { it.cuts() }, RouteKind.IDEMPOTENT) { relay, index, cut ->
            Case(relay, index, endpoints = 2) { request, attempt ->
                if (attempt == 1) {
                    cut.send(this, REQUEST_ID)
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
        expectEach(AnswerForm.ofStreams.flatMap { it.cuts() }, RouteKind.STREAM) { relay, index, cut ->
            Case(relay, index, endpoints = 2) { _, _ -> cut.send(this, REQUEST_ID) }.use { case ->
                val status = case.call(cut.method).status
                val attempts = case.attempts.get()
                "status $status, $attempts attempts".takeUnless { status == 502 && attempts == 1 }
            }
        }
    }

    @Test
    fun `runs a resumable stream at another endpoint`() {
        expectEach(
            AnswerForm.ofStreams.flatMap { it.cuts() },
            RouteKind.STREAM,
            isResumable = true,
        ) { relay, index, cut ->
            Case(relay, index, endpoints = 2) { request, attempt ->
                if (attempt == 1) cut.send(this, REQUEST_ID) else resume(request)
            }.use { case -> describeUnlessWhole(case.call(cut.method)) }
        }
    }

    @Test
    fun `continues a begun stream at another endpoint`() {
        expectEach(
            AnswerForm.ofStreams.flatMap { it.cuts() },
            RouteKind.STREAM,
            isResumable = true,
        ) { relay, index, cut ->
            Case(relay, index, endpoints = 3) { request, attempt ->
                when (attempt) {
                    1 -> {
                        write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)))
                        Thread.sleep(FORWARDED_MILLIS)
                        reset()
                    }

                    2 -> {
                        cut.send(this, REQUEST_ID)
                    }

                    else -> {
                        resume(request)
                    }
                }
            }.use { case -> describeUnlessWhole(case.call(cut.method)) }
        }
    }

    private fun ScriptedConnection.resume(request: ReceivedRequest) {
        val next = 1 + (request["Last-Event-ID"]?.toInt() ?: 0)
        val events = (next..LAST_EVENT).joinToString("") { Scripts.chunk(Scripts.event(it)) }
        write(Scripts.streamHead(request) + events + Scripts.LAST_CHUNK)
    }

    private fun describeUnlessWhole(answer: RawAnswer): String? {
        val whole = (1..LAST_EVENT).joinToString("") { Scripts.event(it) }
        return answer.text.takeUnless { answer.isComplete && answer.body.removeSuffix("0") == whole }
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
        /** As long as [AnswerForm.REQUEST_ID]. */
        const val REQUEST_ID = "n1"
        const val LAST_EVENT = 3
        const val WORKERS = 6
        const val TIMEOUT_SECONDS = 120L

        /** The time after which what an endpoint has written has been forwarded. */
        const val FORWARDED_MILLIS = 50L

        /** More than the buffers of both sockets hold. */
        const val LARGE_BODY_BYTES = 4_000_000
    }
}
