package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Guards against cutting a stalled stream whose retry was taken by another one while its stall report was awaited. */
class SpentBudgetStreamTest {
    private val relay = RelayFixture(retryBurst = BURST_FOR_ONE_RETRY)
    private val resumed = CountDownLatch(1)
    private val first = ScriptedEndpoint("e1") { request, _ -> pauseInStream(request) }
    private val second = ScriptedEndpoint("e2") { request, _ -> write(Scripts.refused(request)) }

    @AfterEach
    fun close() {
        resumed.countDown()
        relay.close()
        first.close()
        second.close()
    }

    @Test
    fun `a stream that cannot be retried any more goes on at its endpoint`() {
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        relay.register(
            first.registration(RelayFixture.allLayers, zone = "z1"),
            second.registration(RelayFixture.allLayers, zone = "z2"),
        )
        relay.stallReport = StallReport.WaitsFor(second.address)
        relay.beforeStallReport = relay::spendRetries
        val release =
            thread {
                Thread.sleep(SILENCE_MILLIS)
                resumed.countDown()
            }
        val answer = relay.call()
        release.join()

        expectThat(answer.body.removeSuffix("0")).isEqualTo((1..4).joinToString("") { Scripts.event(it) })
        expectThat(answer.isComplete).isTrue()
    }

    private fun ScriptedConnection.pauseInStream(request: ReceivedRequest) {
        write(Scripts.streamHead(request))
        (1..2).forEach { write(Scripts.chunk(Scripts.event(it))) }
        resumed.await(SILENCE_MILLIS * 2, TimeUnit.MILLISECONDS)
        (3..4).forEach { write(Scripts.chunk(Scripts.event(it))) }
        write(Scripts.LAST_CHUNK)
    }

    private companion object {
        /** A tenth of the burst is usable in the first ten seconds of a process. */
        const val BURST_FOR_ONE_RETRY = 20
        const val SILENCE_MILLIS = 1_000L
    }
}
