package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.id.LayerRange
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Endpoints that write an earlier refusal once more, and then run the request that it is not about. */
class RepeatedRefusalTest {
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

    private fun serve(
        kind: RouteKind,
        vararg targets: ScriptedEndpoint,
    ) {
        relay.configure(RelayFixture.route(kind))
        relay.register(*targets.mapIndexed { i, it -> it.registration(zone = "z${i + 1}") }.toTypedArray())
    }

    private fun ScriptedConnection.completeStream(request: ReceivedRequest) {
        write(Scripts.streamHead(request) + Scripts.chunk(Scripts.event(1)) + Scripts.LAST_CHUNK)
    }

    private fun String.withoutId() = replace(Regex("Request-Name: .*\r\n"), "")

    @Test
    fun `does not run a call twice after a refusal that names no request`() {
        val closed = LinkedBlockingQueue<Boolean>()
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.refused(request).withoutId())
                closed += closesWithin(CLOSE_TIMEOUT_MILLIS)
            }
        val second = endpoint("e2") { request, _ -> write(Scripts.whole(request, "second run")) }
        serve(RouteKind.NON_IDEMPOTENT, first, second)

        expectThat(relay.call().status).isEqualTo(502)
        expectThat(second.requests).hasSize(0)
        expectThat(closed.poll(POLL_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(true)
    }

    @Test
    fun `does not report a running stream as not run after a refusal that names no request`() {
        serve(RouteKind.STREAM, endpoint("e1") { request, _ -> write(Scripts.refused(request).withoutId()) })

        expectThat(relay.call().status).isEqualTo(502)
    }

    @Test
    fun `keeps using an address after a 421 that names no request`() {
        val target =
            endpoint("e1") { request, number ->
                val misdirected = Scripts.whole(request, "", status = "421 Misdirected Request").withoutId()
                write(if (number == 1) misdirected else Scripts.whole(request, "answer"))
            }
        serve(RouteKind.NON_IDEMPOTENT, target)

        expectThat(relay.call().status).isEqualTo(502)
        expectThat(relay.call().status).isEqualTo(200)
    }

    @Test
    fun `does not take a refusal that is repeated on the connection of an earlier attempt for that of a later one`() {
        var kept: ScriptedConnection? = null
        val first =
            endpoint("e1") { request, number ->
                val unavailable = request["Path"].orEmpty().substringAfter(',').substringBefore('=')
                val refusal = Scripts.refused(request).replace("Not-Run", "Faulty: $unavailable\r\nNot-Run")
                if (number == 1) kept = this
                if (number < LAST_ATTEMPT) return@endpoint write(refusal)
                checkNotNull(kept).write(refusal)
                Thread.sleep(PAUSE_MILLIS)
                completeStream(request)
            }
        val others = List(LAST_ATTEMPT) { i -> endpoint("e${i + 2}") { request, _ -> completeStream(request) } }
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = false), model = RelayFixture.model)
        relay.register(
            first.registration(LayerRange(0, 2)),
            *others.map { it.registration(LayerRange(2, 4)) }.toTypedArray(),
        )
        val answer = relay.call()

        expectThat(answer.status).isEqualTo(200)
        expectThat(answer.isComplete).isTrue()
        expectThat(first.requests).hasSize(LAST_ATTEMPT)
    }

    @Test
    fun `does not pass on a 503 that does not state that the call did not run`() {
        serve(
            RouteKind.NON_IDEMPOTENT,
            endpoint("e1") { request, _ -> write(Scripts.whole(request, "", status = "503 Service Unavailable")) },
        )

        expectThat(relay.call().status).isEqualTo(502)
    }

    private companion object {
        const val CLOSE_TIMEOUT_MILLIS = 1_000
        const val POLL_TIMEOUT_SECONDS = 5L

        /** The first attempt whose request finds a connection of an earlier attempt in the pool. */
        const val LAST_ATTEMPT = 3

        /** Long enough for the relay to handle the repeated refusal before the answer. */
        const val PAUSE_MILLIS = 100L
    }
}
