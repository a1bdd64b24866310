package oriolespindle.router.process

import org.junit.jupiter.api.Test
import oriolespindle.testkit.http.TestReply
import oriolespindle.testkit.service.ServiceFault
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that a stopping instance accepts and that are cut when the platform kills it. */
class LateRequestProcessTest {
    @Test
    fun `a request after SIGTERM whose time limit ends after the kill is refused as not run`() {
        val flags = listOf("--drain-grace-ms", "4000", "--termination-grace-seconds", "6")
        TestFleet(routers = 1, enginesPerRange = 1, routerFlags = flags).use { fleet ->
            fleet.routers[0].terminate()
            await { !fleet.routers[0].isReady() }

            // The contract's default deadline is 10 s.
            val late =
                listOf(
                    fleet.order(0, key = ORDER_KEY),
                    fleet.order(0, key = null, headers = mapOf("Accept" to "text/plain")),
                    fleet.complete(0, PROMPT, tokens = 1),
                )
            val short = fleet.order(0, key = OTHER_KEY, headers = mapOf("Oriolespindle-Deadline-Ms" to "1000"))

            expectThat(late.map { it.status }).containsExactly(503, 503, 503)
            expectThat(late.map { it.headers["oriolespindle-outcome"] }).containsExactly(List(3) { "not_run" })
            late.forEach { expectThat(it.body).contains("\"stopping\"") }
            expectThat(short.status).isEqualTo(200)
            expectThat(fleet.services[0].effects().total).isEqualTo(1)
        }
    }

    @Test
    fun `requests in flight are answered before the kill, and as unknown if they may have run`() {
        val flags = listOf("--drain-grace-ms", "200", "--termination-grace-seconds", "$GRACE_SECONDS")
        TestFleet(routers = 1, enginesPerRange = 1, routerFlags = flags).use { fleet ->
            fleet.services[0].inject(ServiceFault.Slow(millis = 60_000))
            val tokens = CountDownLatch(2)
            val stream = async { fleet.complete(0, PROMPT, TOKENS) { if ("position" in it) tokens.countDown() } }
            val whole = async { fleet.complete(0, PROMPT, TOKENS, stream = false) }
            val claimed = async { fleet.order(0, key = ORDER_KEY, headers = LONG_DEADLINE) }
            expectThat(tokens.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(true)
            await { fleet.services[0].effects().total >= 1 }

            fleet.routers[0].terminate()

            expectThat(fleet.routers[0].exitCode(EXIT_TIMEOUT)).isEqualTo(SIGTERM_EXIT_CODE)
            expectThat(listOf(whole, claimed).map { it.get().status }).containsExactly(502, 502)
            listOf(whole, claimed).forEach { expectThat(it.get().body).contains("\"instance_stopped\"") }
            val events = stream.get().events()
            expectThat(events.last()).startsWith("data: {\"error\"").contains("\"instance_stopped\"")
        }
    }

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS)
        while (!condition()) {
            check(System.nanoTime() < end) { "the condition did not come about in $AWAIT_SECONDS s" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    private fun async(call: () -> TestReply): CompletableFuture<TestReply> = CompletableFuture.supplyAsync(call)

    private companion object {
        const val PROMPT = "closing time"
        const val ORDER_KEY = "order-1"
        const val OTHER_KEY = "order-2"
        val LONG_DEADLINE = mapOf("Oriolespindle-Deadline-Ms" to "60000")

        /** At 10 ms for each token the stream lasts longer than [EXIT_TIMEOUT]. */
        const val TOKENS = 4_000
        const val GRACE_SECONDS = 3
        val EXIT_TIMEOUT = 30.seconds
        const val POLL_MILLIS = 10L
        const val AWAIT_SECONDS = 30L

        /** The JVM exits with 128 + 15 after SIGTERM. */
        const val SIGTERM_EXIT_CODE = 143
    }
}
