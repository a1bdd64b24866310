package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against late requests that outlast all answers before them and are cut off with the process. */
class OutlastedForecastTest {
    private val isSlow = AtomicBoolean()
    private val endpoint =
        ScriptedEndpoint("e1") { request, _ ->
            if (isSlow.get()) Thread.sleep(SLOW_MILLIS)
            write(if (isStream) Scripts.streamHead(request) else Scripts.whole(request, "answer"))
            if (isStream) write(Scripts.chunk(Scripts.event(1)) + Scripts.LAST_CHUNK)
        }
    private var isStream = false
    private var relay: RelayFixture? = null

    @AfterEach
    fun close() {
        relay?.close()
        endpoint.close()
    }

    private fun callAfterShortAnswers(kind: RouteKind): RawAnswer {
        isStream = kind == RouteKind.STREAM
        val grace = 2.seconds
        val shutdown =
            ShutdownSettings(unreadyFor = Duration.ZERO, quietFor = grace, acceptAtMost = grace, grace = grace)
        val relay = RelayFixture(shutdown).also { relay = it }
        relay.configure(RelayFixture.route(kind))
        relay.register(endpoint.registration())
        repeat(SHORT_ANSWERS) { relay.call(headers = mapOf("Request-Name" to "n$it")) }
        relay.shutDown()
        isSlow.set(true)
        return relay.call(headers = mapOf("Request-Name" to "late"))
    }

    @Test
    fun `a late stream is refused unless its time limit ends before the instance`() {
        val answer = callAfterShortAnswers(RouteKind.STREAM)

        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.body).contains("not_run")
    }

    @Test
    fun `a late request that must not be repeated is refused unless its time limit ends before the instance`() {
        val answer = callAfterShortAnswers(RouteKind.NON_IDEMPOTENT)

        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.body).contains("not_run")
    }

    private companion object {
        const val SHORT_ANSWERS = 70

        /** Longer than the grace period. */
        const val SLOW_MILLIS = 2_500L
    }
}
