package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
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

    private companion object {
        const val CLOSE_TIMEOUT_MILLIS = 1_000
        const val POLL_TIMEOUT_SECONDS = 5L
    }
}
