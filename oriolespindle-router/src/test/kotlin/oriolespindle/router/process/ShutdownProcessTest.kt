package oriolespindle.router.process

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against a shutdown that aborts requests in flight. */
class ShutdownProcessTest {
    @Test
    fun `after SIGTERM during a stream no token is lost and the process exits`() {
        TestFleet(routers = 1, enginesPerRange = 1, routerFlags = listOf("--drain-grace-ms", "200")).use { fleet ->
            val firstTokens = CountDownLatch(FIRST_TOKENS)
            val reply =
                CompletableFuture.supplyAsync {
                    fleet.complete(0, PROMPT, TOKENS) { if ("position" in it) firstTokens.countDown() }
                }
            firstTokens.await(60, TimeUnit.SECONDS)
            fleet.routers[0].terminate()

            expectThat(reply.get().events()).containsExactly(TestFleet.expectedStream(PROMPT, TOKENS))
            expectThat(fleet.routers[0].exitCode(30.seconds)).isEqualTo(SIGTERM_EXIT_CODE)
        }
    }

    private companion object {
        const val PROMPT = "closing time"
        const val FIRST_TOKENS = 5

        /** At 10 ms per token the stream lasts much longer than the drain grace of 200 ms for the load balancer. */
        const val TOKENS = 300

        /** The JVM exits with 128 + 15 after SIGTERM. */
        const val SIGTERM_EXIT_CODE = 143
    }
}
