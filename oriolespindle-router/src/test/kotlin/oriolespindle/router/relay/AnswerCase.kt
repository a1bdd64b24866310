package oriolespindle.router.relay

import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** One request whose attempts meet [script] in turn, whichever endpoint they reach. */
internal class AnswerCase(
    private val relay: RelayFixture,
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

    companion object {
        /** As long as [AnswerForm.REQUEST_ID]. */
        const val REQUEST_ID = "n1"
        private const val WORKERS = 6
        private const val TIMEOUT_SECONDS = 120L

        /** Runs [check] for each of [answers]; it returns what is wrong, or null. */
        fun <T> expectEach(
            answers: List<T>,
            kind: RouteKind,
            isResumable: Boolean = false,
            check: (RelayFixture, index: Int, T) -> String?,
        ) {
            val left = ConcurrentLinkedQueue(answers.withIndex().toList())
            val faults = ConcurrentLinkedQueue<String>()
            val workers = Executors.newFixedThreadPool(WORKERS)
            repeat(WORKERS) {
                workers.submit {
                    RelayFixture(retryBurst = Int.MAX_VALUE).use { relay ->
                        relay.configure(RelayFixture.route(kind, isResumable, maxAttempts = 3))
                        generateSequence { left.poll() }.forEach { (index, answer) ->
                            val fault = runCatching { check(relay, index, answer) }.getOrElse { it.toString() }
                            if (fault != null) faults += "$answer: $fault"
                        }
                    }
                }
            }
            workers.shutdown()
            expectThat(workers.awaitTermination(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(true)
            expectThat(left).isEmpty()
            expectThat(faults.toList()).isEmpty()
        }
    }
}

private const val LAST_EVENT = 3

/** Sends the rest of a stream of three events, after the last one that the caller has received. */
internal fun ScriptedConnection.resume(request: ReceivedRequest) {
    val next = 1 + (request["Last-Event-ID"]?.toInt() ?: 0)
    val events = (next..LAST_EVENT).joinToString("") { Scripts.chunk(Scripts.event(it)) }
    write(Scripts.streamHead(request) + events + Scripts.LAST_CHUNK)
}

/** Returns the text of an answer that is not the whole stream of three events, else null. */
internal fun RawAnswer.describeUnlessWholeStream(): String? {
    val whole = (1..LAST_EVENT).joinToString("") { Scripts.event(it) }
    return text.takeUnless { isComplete && body.removeSuffix("0") == whole }
}
