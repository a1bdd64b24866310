package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A stream's engine resets the connection, and the engines that could resume the stream refuse for a second. */
class RefusedResumptionTest {
    private val relay = RelayFixture()
    private val start = TimeSource.Monotonic.markNow()
    private val first = ScriptedEndpoint("e1") { request, _ -> resetThenRefuse(request) }
    private val second = ScriptedEndpoint("e2") { request, _ -> refuseThenResume(request) }

    @AfterEach
    fun close() {
        relay.close()
        first.close()
        second.close()
    }

    @Test
    fun `resumes a begun stream after its engines have refused it for a moment`() {
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        relay.register(
            first.registration(RelayFixture.allLayers, zone = "z1"),
            second.registration(RelayFixture.allLayers, zone = "z2"),
        )
        val answer = relay.call()

        expectThat(answer.body.removeSuffix("0")).isEqualTo((1..4).joinToString("") { Scripts.event(it) })
        expectThat(answer.isComplete).isTrue()
    }

    private fun ScriptedConnection.resetThenRefuse(request: ReceivedRequest) {
        if (request["Last-Event-Id"] != null) {
            write(Scripts.refused(request))
            return
        }
        write(Scripts.streamHead(request))
        (1..2).forEach { write(Scripts.chunk(Scripts.event(it))) }
        Thread.sleep(RESET_DELAY_MILLIS)
        reset()
    }

    private fun ScriptedConnection.refuseThenResume(request: ReceivedRequest) {
        if (start.elapsedNow() < REFUSAL_DURATION) {
            write(Scripts.refused(request))
            return
        }
        write(Scripts.streamHead(request))
        (3..4).forEach { write(Scripts.chunk(Scripts.event(it))) }
        write(Scripts.LAST_CHUNK)
    }

    private companion object {
        const val RESET_DELAY_MILLIS = 50L

        /** A third of the route's timeout. */
        val REFUSAL_DURATION = 1.seconds
    }
}
