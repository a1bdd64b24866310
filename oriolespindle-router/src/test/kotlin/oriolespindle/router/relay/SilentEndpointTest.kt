package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.placement.ModelLayout
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Sound endpoints that fall silent for about a second and then go on. */
class SilentEndpointTest {
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

    private fun serveStreams(
        vararg targets: ScriptedEndpoint,
        model: ModelLayout? = RelayFixture.model,
    ) {
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = model)
        val layers = RelayFixture.allLayers.takeIf { model != null }
        relay.register(*targets.mapIndexed { i, it -> it.registration(layers, zone = "z${i + 1}") }.toTypedArray())
    }

    /** Streams four events; the run from the start is silent for [millis] after two of them. */
    private fun ScriptedConnection.streamWithSilence(
        request: ReceivedRequest,
        millis: Long,
    ) {
        write(Scripts.streamHead(request))
        if (request["Last-Event-Id"] == null) {
            (1..2).forEach { write(Scripts.chunk(Scripts.event(it))) }
            Thread.sleep(millis)
        }
        (3..4).forEach { write(Scripts.chunk(Scripts.event(it))) }
        write(Scripts.LAST_CHUNK)
    }

    private fun expectOneRun(answer: RawAnswer) {
        expectThat(answer.body.removeSuffix("0")).isEqualTo((1..4).joinToString("") { Scripts.event(it) })
        expectThat(answer.isComplete).isTrue()
        expectThat(endpoints.map { it.requests.size }).isEqualTo(listOf(1) + List(endpoints.size - 1) { 0 })
    }

    @Test
    fun `keeps a plain stream whose endpoint is silent for a second`() {
        serveStreams(
            endpoint("e1") { request, _ -> streamWithSilence(request, SHORT_SILENCE_MILLIS) },
            endpoint("e2") { request, _ -> streamWithSilence(request, SHORT_SILENCE_MILLIS) },
            model = null,
        )
        expectOneRun(relay.call())
    }

    @Test
    fun `resumes a plain stream elsewhere when its endpoint stays silent`() {
        val silent = endpoint("e1") { request, _ -> streamWithSilence(request, ENDLESS_MILLIS) }
        val other = endpoint("e2") { request, _ -> streamWithSilence(request, ENDLESS_MILLIS) }
        serveStreams(silent, other, model = null)

        expectThat(relay.call().isComplete).isTrue()
        expectThat(other.requests.single()["Last-Event-Id"]).isEqualTo("2")
    }

    @Test
    fun `keeps a stream of a model whose engine is silent for a second and reports to be alive`() {
        serveStreams(
            endpoint("e1") { request, _ -> streamWithSilence(request, SHORT_SILENCE_MILLIS) },
            endpoint("e2") { request, _ -> streamWithSilence(request, SHORT_SILENCE_MILLIS) },
        )
        expectOneRun(relay.call())
    }

    @Test
    fun `does not run a stream again at the silent engine when there is no other`() {
        serveStreams(endpoint("e1") { request, _ -> streamWithSilence(request, LONG_SILENCE_MILLIS) })
        expectOneRun(relay.call())
    }

    @Test
    fun `does not cut a stream whose only engine neither sends nor answers for a second`() {
        serveStreams(endpoint("e1") { request, _ -> streamWithSilence(request, SHORT_SILENCE_MILLIS) })
        relay.stallReport = StallReport.NoAnswer
        expectOneRun(relay.call())
    }

    @Test
    fun `answers a call whose endpoint is silent for a second while the other endpoint refuses`() {
        val silent =
            endpoint("e1") { request, number ->
                if (number == 1) Thread.sleep(SHORT_SILENCE_MILLIS)
                write(Scripts.whole(request, "answer"))
            }
        relay.configure(RelayFixture.route(RouteKind.IDEMPOTENT))
        val full = endpoint("e2") { request, _ -> write(Scripts.refused(request)) }
        relay.register(silent.registration(zone = "z1"), full.registration(zone = "z2"))
        val answer = relay.call(method = "GET", body = "")

        expectThat(answer.status).isEqualTo(200)
        expectThat(answer.body).isEqualTo("answer")
    }

    @Test
    fun `goes back to a silent endpoint of a plain service when the other one refuses the stream`() {
        val full = endpoint("e2") { request, _ -> write(Scripts.refused(request)) }
        val silent = endpoint("e1") { request, _ -> streamWithSilence(request, ENDLESS_MILLIS) }
        serveStreams(silent, full, model = null)

        expectThat(relay.call().isComplete).isTrue()
        expectThat(silent.requests).hasSize(2)
    }

    private companion object {
        const val SHORT_SILENCE_MILLIS = 1_000L

        /** Longer than the gap after which a stream is resumed where another endpoint is free. */
        const val LONG_SILENCE_MILLIS = 1_600L
        const val ENDLESS_MILLIS = 10_000L
    }
}
