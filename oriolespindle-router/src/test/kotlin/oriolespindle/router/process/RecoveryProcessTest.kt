package oriolespindle.router.process

import org.junit.jupiter.api.Test
import oriolespindle.testkit.engine.EngineFault
import oriolespindle.testkit.fleet.FleetProcess
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isGreaterThan
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against streams that end early, or repeat or mix tokens, when a stage or its connection fails. */
class RecoveryProcessTest {
    @Test
    fun `a stream is delivered completely when its first stage is killed`() =
        streamSurvives("first stage killed") {
            it.heads.busiest().kill()
        }

    @Test
    fun `a stream is delivered completely when its last stage is killed`() =
        streamSurvives("last stage killed") {
            it.tails.busiest().kill()
        }

    @Test
    fun `a stream is delivered completely when its last stage is frozen with SIGSTOP`() =
        streamSurvives("last stage frozen") {
            it.tails.busiest().pause()
        }

    @Test
    fun `a stream is delivered completely when its first stage is frozen with SIGSTOP`() =
        streamSurvives("first stage frozen") { it.heads.busiest().pause() }

    @Test
    fun `a stream is delivered completely when its open connection goes silent and new ones work`() =
        streamSurvives("silent connection") { it.heads.busiest().inject(EngineFault.Freeze(openStreamsOnly = true)) }

    @Test
    fun `a stream is delivered completely when the engine sends duplicates and lines of other requests`() {
        TestFleet(routers = 1).use { fleet ->
            fleet.tails.forEach { it.inject(EngineFault.Duplicate()) }
            fleet.heads.forEach { it.inject(EngineFault.ForeignLines()) }

            val reply = fleet.complete(0, PROMPT, FEW_TOKENS)

            expectThat(reply.events()).containsExactly(TestFleet.expectedStream(PROMPT, FEW_TOKENS))
            expectThat(fleet.metric(0, "oriolespindle_lines_ignored_total")).isGreaterThan(0.0)
        }
    }

    private fun streamSurvives(
        name: String,
        fail: (TestFleet) -> Unit,
    ) {
        TestFleet(routers = 1).use { fleet ->
            val firstTokens = CountDownLatch(FIRST_TOKENS)
            val reply =
                CompletableFuture.supplyAsync {
                    fleet.complete(0, PROMPT, TOKENS) { if ("position" in it) firstTokens.countDown() }
                }
            firstTokens.await(60, TimeUnit.SECONDS)
            fail(fleet)

            expectThat(reply.get().events()).containsExactly(TestFleet.expectedStream(PROMPT, TOKENS))
            expectThat(fleet.metric(0, "oriolespindle_retries_total")).isGreaterThan(0.0)
            println("FIGURE recovery after $name: ${fleet.metric(0, "oriolespindle_recovery_seconds_sum")} s")
        }
    }

    private fun List<FleetProcess>.busiest(): FleetProcess =
        maxBy { engine -> engine.runs().sumOf { it.positions.size } }

    private companion object {
        const val PROMPT = "spring catalogue"
        const val FIRST_TOKENS = 20
        const val TOKENS = 100
        const val FEW_TOKENS = 12
    }
}
