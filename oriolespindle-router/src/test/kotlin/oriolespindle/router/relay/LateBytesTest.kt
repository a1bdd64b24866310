package oriolespindle.router.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Guards against late bytes on a kept connection, a part of a repeated head, that spoil the next answer. */
class LateBytesTest {
    @Test
    fun `does not use a connection that has received a part of another answer`() {
        val late = "\r\nHTTP/1.1 200 OK\r\nServer: x\r\nRequest-Name: n1\r\nSigned: yes\r\nContent-Length: 5\r\n\r\n"
        val faults = ConcurrentLinkedQueue<String>()
        val workers = Executors.newFixedThreadPool(WORKERS)
        (1..late.length).forEach { length ->
            workers.submit {
                val answer = runCatching { callAfter(late.take(length)) }.getOrElse { it.toString() }
                if (answer != "200 second") faults += "after $length characters: $answer"
            }
        }
        workers.shutdown()
        workers.awaitTermination(TIMEOUT_SECONDS, TimeUnit.SECONDS)

        expectThat(faults.toList()).isEmpty()
    }

    private fun callAfter(late: String): String {
        val isSent = CountDownLatch(1)
        val endpoint =
            ScriptedEndpoint("e1") { request, number ->
                write(Scripts.whole(request, if (number == 1) "first" else "second"))
                if (number == 1) {
                    Thread.sleep(DELAY_MILLIS)
                    write(late)
                    isSent.countDown()
                }
            }
        return RelayFixture().use { relay ->
            relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT))
            relay.register(endpoint.registration())
            relay.call(headers = mapOf("Request-Name" to "n1"))
            isSent.await()
            Thread.sleep(DELAY_MILLIS)
            val answer = relay.call(headers = mapOf("Request-Name" to "n2"))
            endpoint.close()
            "${answer.status} ${answer.body}"
        }
    }

    private companion object {
        const val WORKERS = 8
        const val TIMEOUT_SECONDS = 60L

        /** The time after which bytes that were written have been read by the other side. */
        const val DELAY_MILLIS = 50L
    }
}
