package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.id.LayerRange
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** An endpoint answers 503 with `Retry-After` and must be left alone for that time. */
class PausedEndpointTest {
    private val relay = RelayFixture()
    private val endpoints = ArrayList<ScriptedEndpoint>()

    @AfterEach
    fun close() {
        relay.close()
        endpoints.forEach { it.close() }
    }

    private fun endpoint(
        name: String,
        script: ScriptedConnection.(ReceivedRequest, Int) -> Unit,
    ): ScriptedEndpoint = ScriptedEndpoint(name, script).also { endpoints += it }

    private fun refused(
        request: ReceivedRequest,
        retryAfter: String,
        extra: String = "Not-Run: 1\r\n",
    ) = Scripts.whole(request, "", "503 Unavailable", "Retry-After: $retryAfter\r\n$extra")

    private fun stream(
        request: ReceivedRequest,
        ids: IntRange,
    ) = Scripts.streamHead(request) + ids.joinToString("") { Scripts.chunk(Scripts.event(it)) } + Scripts.LAST_CHUNK

    private fun serveCalls(vararg endpoints: ScriptedEndpoint) {
        relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT))
        relay.register(*endpoints.mapIndexed { i, it -> it.registration(zone = "z${i + 1}") }.toTypedArray())
    }

    private fun checkRefusedWhilePaused() {
        val answer = relay.call()
        expectThat(answer.status).isEqualTo(503)
        expectThat(answer.body).contains("endpoints_paused")
        expectThat(answer.header("Retry-After")?.toDouble()).isNotNull().isIn(1.0..1.5)
    }

    @Test
    fun `guards against calls to an endpoint that asked for a pause`() {
        val only = endpoint("e1") { request, _ -> write(refused(request, "30")) }
        serveCalls(only)
        expectThat(relay.call().header("Retry-After")?.toDouble()).isNotNull().isIn(1.0..1.5)
        repeat(2) { checkRefusedWhilePaused() }

        expectThat(only.requests).hasSize(1)
    }

    @Test
    fun `guards against calls to an endpoint that asked for a pause in a failure`() {
        val only = endpoint("e1") { request, _ -> write(refused(request, "30", extra = "")) }
        serveCalls(only)
        expectThat(relay.call().status).isEqualTo(502)
        checkRefusedWhilePaused()

        expectThat(only.requests).hasSize(1)
    }

    @Test
    fun `guards against refusing calls that another endpoint can serve during a pause`() {
        val first = endpoint("e1") { request, _ -> write(refused(request, "30")) }
        val second = endpoint("e2") { request, _ -> write(Scripts.whole(request, "answer")) }
        serveCalls(first, second)
        repeat(3) { expectThat(relay.call().status).isEqualTo(200) }

        expectThat(first.requests).hasSize(1)
    }

    @Test
    fun `guards against a value that is no number keeping calls from an endpoint`() {
        val only = endpoint("e1") { request, _ -> write(refused(request, "Wed, 21 Oct 2026 07:28:00 GMT")) }
        serveCalls(only)
        repeat(2) { relay.call() }

        expectThat(only.requests).hasSize(2)
    }

    @Test
    fun `guards against leaving alone the blamed engine of a path instead of the one that asked for it`() {
        val isFirst = AtomicBoolean(true)
        val blamed = endpoint("e2") { _, _ -> }
        val script: ScriptedConnection.(ReceivedRequest, Int) -> Unit = { request, _ ->
            val refusal = refused(request, "30", "Not-Run: 1\r\nFaulty: ${blamed.address}\r\n")
            write(if (isFirst.getAndSet(false)) refusal else stream(request, 1..2))
        }
        val first = listOf(endpoint("e1", script), endpoint("e3", script))
        relay.configure(RelayFixture.route(RouteKind.STREAM), model = RelayFixture.model)
        relay.register(
            *first.map { it.registration(LayerRange(0, 2)) }.toTypedArray(),
            blamed.registration(LayerRange(2, 4)),
        )
        expectThat(relay.call().status).isEqualTo(503)
        Thread.sleep(BLAMED_BACKOFF_MILLIS)
        expectThat(relay.call().status).isEqualTo(200)

        expectThat(first.map { it.requests.size }).isEqualTo(listOf(1, 1))
    }

    @Test
    fun `guards against streams to a path whose first engine asked for a pause`() {
        val only = endpoint("e1") { request, _ -> write(refused(request, "30")) }
        relay.configure(RelayFixture.route(RouteKind.STREAM), model = RelayFixture.model)
        relay.register(only.registration(RelayFixture.allLayers))
        relay.call()
        Thread.sleep(BLAMED_BACKOFF_MILLIS)
        checkRefusedWhilePaused()

        expectThat(only.requests).hasSize(1)
    }

    @Test
    fun `guards against resuming a stream before the end of the pause, or giving it up`() {
        val arrivals = CopyOnWriteArrayList<TimeSource.Monotonic.ValueTimeMark>()
        val only =
            endpoint("e1") { request, number ->
                arrivals += TimeSource.Monotonic.markNow()
                when (number) {
                    1 -> {
                        write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)))
                        Thread.sleep(RESET_DELAY_MILLIS)
                        reset()
                    }

                    2 -> {
                        write(refused(request, "0.9"))
                    }

                    else -> {
                        write(stream(request, 2..3))
                    }
                }
            }
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        relay.register(only.registration(RelayFixture.allLayers))
        val answer = relay.call()

        expectThat(answer.body.removeSuffix("0")).isEqualTo((1..3).joinToString("") { Scripts.event(it) })
        expectThat(answer.isComplete).isTrue()
        expectThat<Duration>(arrivals[2] - arrivals[1]).isGreaterThan(900.milliseconds)
    }

    private companion object {
        /** Longer than the first backoff after a refusal. */
        const val BLAMED_BACKOFF_MILLIS = 200L
        const val RESET_DELAY_MILLIS = 50L
    }
}
