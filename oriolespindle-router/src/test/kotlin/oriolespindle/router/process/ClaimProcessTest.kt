package oriolespindle.router.process

import org.junit.jupiter.api.Test
import oriolespindle.testkit.AnswerLoss
import oriolespindle.testkit.http.TestReply
import oriolespindle.testkit.platform.PlatformFault
import oriolespindle.testkit.platform.PlatformInstance
import oriolespindle.testkit.service.ServiceFault
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture

/** Guards against a non-idempotent call that runs twice, or is reported as not run although it ran. */
class ClaimProcessTest {
    @Test
    fun `concurrent calls with one key through two instances have one effect`() {
        TestFleet(enginesPerRange = 1).use { fleet ->
            val replies =
                (0 until CALLS)
                    .map { n -> CompletableFuture.supplyAsync { fleet.order(n % 2, "same-key") } }
                    .map { it.get() }

            expectThat(fleet.services[0].effects().total).isEqualTo(1)
            expectThat(replies.count { it.headers["oriolespindle-outcome"] == "not_run" }).isEqualTo(0)
        }
    }

    @Test
    fun `a call whose answer is lost is unknown and a retry through another instance does not send it again`() {
        TestFleet(enginesPerRange = 1).use { fleet ->
            fleet.services[0].inject(ServiceFault.LoseAnswers(AnswerLoss(next = 1)))

            val first = fleet.order(0, "lost-answer")
            val repeat = fleet.order(1, "lost-answer")

            expectThat(first.headers["oriolespindle-outcome"]).isEqualTo("unknown")
            expectThat(repeat.headers["oriolespindle-outcome"]).isEqualTo("unknown")
            expectThat(fleet.services[0].effects().total).isEqualTo(1)
        }
    }

    @Test
    fun `a claim whose confirmation is lost is read back and the call runs once`() {
        TestFleet(enginesPerRange = 1).use { fleet ->
            fleet.platform.inject(PlatformFault.LoseAnswers(AnswerLoss(next = 1)))

            val reply = fleet.order(0, "lost-claim")

            expectThat(reply.status).isEqualTo(200)
            expectThat(fleet.services[0].effects().total).isEqualTo(1)
        }
    }

    @Test
    fun `a call whose instance is killed has an unknown outcome and no other instance sends it again`() {
        TestFleet(enginesPerRange = 1).use { fleet ->
            fleet.services[0].inject(ServiceFault.Slow(SLOW_MILLIS))
            val first = CompletableFuture.supplyAsync { runCatching { fleet.order(0, "killed") } }
            while (fleet.services[0].effects().total == 0) Thread.sleep(POLL_INTERVAL_MILLIS)
            fleet.routers[0].kill()
            first.get()
            val peers = checkNotNull(fleet.routers[0].peers)
            fleet.platform.register(PlatformInstance("r1", "z1", peers, "router", "gone"))

            val repeat = retryWhileLimited { fleet.order(1, "killed") }

            expectThat(repeat.headers["oriolespindle-outcome"]).describedAs { repeat.body }.isEqualTo("unknown")
            expectThat(repeat.body).contains("claim_")
            expectThat(fleet.services[0].effects().total).isEqualTo(1)
        }
    }

    /**
     * Retries a call while it is refused by its team's limits.
     *
     * The killed instance may have held all units, which are released about 15 s after the platform lists it as gone.
     */
    private fun retryWhileLimited(call: () -> TestReply): TestReply {
        var reply = call()
        repeat(MAX_RETRIES) {
            if (reply.status != TOO_MANY_REQUESTS) return reply
            Thread.sleep(RETRY_INTERVAL_MILLIS)
            reply = call()
        }
        return reply
    }

    private companion object {
        const val CALLS = 8
        const val SLOW_MILLIS = 3_000L
        const val POLL_INTERVAL_MILLIS = 20L
        const val TOO_MANY_REQUESTS = 429
        const val MAX_RETRIES = 100
        const val RETRY_INTERVAL_MILLIS = 500L
    }
}
