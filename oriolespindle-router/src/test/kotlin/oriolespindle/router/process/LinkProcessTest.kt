package oriolespindle.router.process

import org.junit.jupiter.api.Test
import oriolespindle.testkit.link.LinkFault
import oriolespindle.testkit.platform.PlatformFault
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against streams and calls that fail when a link is cut or silent, the platform slow or an instance paused. */
class LinkProcessTest {
    @Test
    fun `a stream is delivered completely when the link between its stages is cut`() = streamSurvives(LinkFault.Cut)

    @Test
    fun `a stream is delivered completely when the open connections between its stages are reset`() =
        streamSurvives(LinkFault.ResetOpen)

    @Test
    fun `a stream is delivered completely when the link between its stages goes silent`() =
        streamSurvives(LinkFault.Silence())

    @Test
    fun `completions and claimed calls are served while the platform is slow`() {
        TestFleet(routers = 1, enginesPerRange = 1).use { fleet ->
            fleet.platform.inject(PlatformFault.Slow(SLOW_MILLIS))

            val completion = fleet.complete(0, PROMPT, FEW_TOKENS)
            val order = fleet.order(0, "slow-platform")

            expectThat(completion.events()).containsExactly(TestFleet.expectedStream(PROMPT, FEW_TOKENS))
            expectThat(order.status).isEqualTo(200)
            expectThat(fleet.services[0].effects().total).isEqualTo(1)
        }
    }

    @Test
    fun `an instance that was paused for longer than its fence serves again and sends no call twice`() {
        TestFleet(enginesPerRange = 1).use { fleet ->
            fleet.order(0, "before-the-pause")
            fleet.routers[0].pause()
            Thread.sleep(PAUSE_MILLIS)
            fleet.routers[0].resume()

            val repeat = fleet.order(0, "before-the-pause")
            val completion = fleet.complete(0, PROMPT, FEW_TOKENS)

            expectThat(repeat) { get { status }.describedAs { repeat.body }.isEqualTo(200) }
            expectThat(completion.events()).containsExactly(TestFleet.expectedStream(PROMPT, FEW_TOKENS))
            expectThat(fleet.services[0].effects().total).isEqualTo(1)
        }
    }

    private fun streamSurvives(fault: LinkFault) {
        TestFleet(routers = 1, areTailsLinked = true).use { fleet ->
            val firstTokens = CountDownLatch(FIRST_TOKENS)
            val reply =
                CompletableFuture.supplyAsync {
                    fleet.complete(0, PROMPT, TOKENS) { if ("position" in it) firstTokens.countDown() }
                }
            firstTokens.await(60, TimeUnit.SECONDS)
            val busiest = fleet.tails.indices.maxBy { i -> fleet.tails[i].runs().sumOf { it.positions.size } }
            fleet.tailLinks[busiest].inject(fault)

            expectThat(reply.get().events()).containsExactly(TestFleet.expectedStream(PROMPT, TOKENS))
            expectThat(fleet.metric(0, "oriolespindle_retries_total")).isGreaterThan(0.0)
        }
    }

    private companion object {
        const val PROMPT = "link test"
        const val FIRST_TOKENS = 20
        const val TOKENS = 100
        const val FEW_TOKENS = 5
        const val SLOW_MILLIS = 300L

        /** Longer than the fence, which closes after 3 s without an event. */
        const val PAUSE_MILLIS = 5_000L
    }
}
