package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that a stopping instance accepts although it is killed before they can end. */
class RequestCutAtShutdownTest {
    private val endpoints = ArrayList<ScriptedEndpoint>()
    private var relay: RelayFixture? = null

    @AfterEach
    fun close() {
        relay?.close()
        endpoints.forEach { it.close() }
    }

    private fun serve(
        kind: RouteKind,
        grace: Duration,
        script: ScriptedConnection.(ReceivedRequest, Int) -> Unit,
    ): RelayFixture {
        val target = ScriptedEndpoint("e1", script).also { endpoints += it }
        // The listener stays open, as if the load balancer found no other instance ready.
        val shutdown =
            ShutdownSettings(unreadyFor = Duration.ZERO, quietFor = grace, acceptAtMost = grace, grace = grace)
        return RelayFixture(shutdown).also {
            relay = it
            it.configure(RelayFixture.route(kind))
            it.register(target.registration())
        }
    }

    @Test
    fun `a request that may not be finished in time is refused before it reaches an endpoint`() {
        val relay =
            serve(RouteKind.NON_IDEMPOTENT, grace = 2.seconds) { request, _ ->
                Thread.sleep(LONG_CALL_MILLIS)
                write(Scripts.whole(request, "answer"))
            }
        expectThat(relay.call().status).isEqualTo(200)
        relay.shutDown()
        val answer = relay.call(headers = mapOf("Request-Name" to "n2"))

        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.header("Retry-After")).isEqualTo("0.000")
        expectThat(answer.header("Connection")).isEqualTo("close")
        expectThat(answer.body).contains("stopping").contains("not_run")
        expectThat(endpoints.single().requests.size).isEqualTo(1)
    }

    @Test
    fun `a short request is served during the shutdown`() {
        val relay =
            serve(
                RouteKind.NON_IDEMPOTENT,
                grace = 60.seconds,
            ) { request, _ -> write(Scripts.whole(request, "answer")) }
        relay.call()
        relay.shutDown()

        expectThat(relay.call(headers = mapOf("Request-Name" to "n2")).status).isEqualTo(200)
    }

    @Test
    fun `a request that has not ended when the process is about to be killed gets an answer that promises nothing`() {
        val relay = serve(RouteKind.NON_IDEMPOTENT, grace = 900.milliseconds) { _, _ -> Thread.sleep(ENDLESS_MILLIS) }
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", emptyMap(), "body")
            endpoints.single().nextRequest()
            relay.shutDown()
            val answer = caller.readAll()

            expectThat(answer.status).isEqualTo(502)
            expectThat(answer.body).contains("unknown").contains("stopping")
        }
        expectThat(relay.stopped.await(5, TimeUnit.SECONDS)).isTrue()
    }

    @Test
    fun `a stream that is cut when the process is about to be killed does not look complete`() {
        val relay =
            serve(RouteKind.STREAM, grace = 900.milliseconds) { request, _ ->
                write(Scripts.streamHead(request))
                write(Scripts.chunk(Scripts.event(1)))
                Thread.sleep(ENDLESS_MILLIS)
            }
        relay.connect().use { caller ->
            caller.send("POST", "/r/x", emptyMap(), "body")
            endpoints.single().nextRequest()
            Thread.sleep(FIRST_EVENT_MILLIS)
            relay.shutDown()
            val answer = caller.readAll()

            expectThat(answer.body).contains("event 1")
            expectThat(answer.isComplete).isFalse()
        }
        expectThat(relay.stopped.await(5, TimeUnit.SECONDS)).isTrue()
    }

    private companion object {
        /** More than the time that is left after a grace period of 2 s begins, with its reserve and margin. */
        const val LONG_CALL_MILLIS = 1_500L
        const val FIRST_EVENT_MILLIS = 200L
        const val ENDLESS_MILLIS = 10_000L
    }
}
