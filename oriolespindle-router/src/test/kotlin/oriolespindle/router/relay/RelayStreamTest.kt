package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class RelayStreamTest {
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

    private fun ScriptedConnection.events(ids: IntRange) = ids.forEach { write(Scripts.chunk(Scripts.event(it))) }

    private fun ScriptedConnection.completeStream(
        request: ReceivedRequest,
        ids: IntRange,
    ) {
        write(Scripts.streamHead(request))
        events(ids)
        write(Scripts.LAST_CHUNK)
    }

    private fun serve(
        vararg endpoints: ScriptedEndpoint,
        isResumable: Boolean = true,
    ) {
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable), model = RelayFixture.model)
        relay.register(
            *endpoints
                .mapIndexed {
                    i,
                    it,
                    ->
                    it.registration(RelayFixture.allLayers, zone = "z${i + 1}")
                }.toTypedArray(),
        )
    }

    private fun text(ids: IntRange) = ids.joinToString("") { Scripts.event(it) }

    @Test
    fun `guards against a stream that is changed or sent without its path`() {
        val engine = endpoint("e1") { request, _ -> completeStream(request, 1..5) }
        serve(engine)
        val answer = relay.call()

        expectThat(answer.status).isEqualTo(200)
        expectThat(answer.body.removeSuffix("0")).isEqualTo(text(1..5))
        expectThat(answer.isComplete).isTrue()
        expectThat(engine.requests.single()["Path"]).isEqualTo("${engine.address}=0-4")
    }

    @Test
    fun `guards against a missing or repeated event after an engine breaks off inside an event`() {
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                events(1..3)
                write(Scripts.chunk("id: 4\nda"))
                Thread.sleep(50)
                reset()
            }
        val second = endpoint("e2") { request, _ -> completeStream(request, 4..6) }
        serve(first, second)
        val answer = relay.call()

        expectThat(answer.body.removeSuffix("0")).isEqualTo(text(1..6))
        expectThat(answer.isComplete).isTrue()
        expectThat(answer.header("Signed")).isEqualTo("e1")
        expectThat(second.requests.single()["Last-Event-Id"]).isEqualTo("3")
    }

    @Test
    fun `guards against joining a run that does not go on where the first ended`() {
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                events(1..3)
                Thread.sleep(50)
                reset()
            }
        val second = endpoint("e2") { request, _ -> completeStream(request, 5..6) }
        serve(first, second)
        val answer = relay.call()

        expectThat(answer.body).isEqualTo(text(1..3))
        expectThat(answer.isComplete).isFalse()
    }

    @Test
    fun `guards against running a stream twice that may not be resumed`() {
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                events(1..2)
                Thread.sleep(50)
                reset()
            }
        val second = endpoint("e2") { request, _ -> completeStream(request, 1..2) }
        serve(first, second, isResumable = false)
        val answer = relay.call()

        expectThat(answer.isComplete).isFalse()
        expectThat(second.requests).hasSize(0)
    }

    @Test
    fun `guards against waiting for an engine that has gone silent`() {
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                events(1..2)
                Thread.sleep(10_000)
            }
        val second = endpoint("e2") { request, _ -> completeStream(request, 3..4) }
        serve(first, second)
        relay.stallReport = StallReport.NoAnswer
        val answer = relay.call()

        expectThat(answer.body.removeSuffix("0")).isEqualTo(text(1..4))
        expectThat(answer.isComplete).isTrue()
    }

    @Test
    fun `guards against ending a stream that pauses and cannot run again`() {
        val engine =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                events(1..2)
                Thread.sleep(1_600)
                events(3..4)
                write(Scripts.LAST_CHUNK)
            }
        serve(engine, isResumable = false)
        relay.stallReport = StallReport.NoAnswer
        val answer = relay.call()

        expectThat(answer.body.removeSuffix("0")).isEqualTo(text(1..4))
        expectThat(answer.isComplete).isTrue()
    }

    @Test
    fun `guards against each stream finding out by itself that an engine is lost`() {
        val started = java.util.concurrent.CountDownLatch(2)
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                events(1..2)
                started.countDown()
                Thread.sleep(10_000)
            }
        val second = endpoint("e2") { request, _ -> completeStream(request, 3..4) }
        serve(first, second)
        val answers =
            List(2) {
                java.util.concurrent.CompletableFuture
                    .supplyAsync { relay.call() }
            }
        started.await()
        relay.stallReport = StallReport.WaitsFor(first.address)

        answers.forEach { expectThat(it.get().isComplete).isTrue() }
        expectThat(relay.call().isComplete).isTrue()
        expectThat(first.requests).hasSize(2)
    }

    @Test
    fun `guards against cutting a stream that goes on while it is looked into`() {
        val engine =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                Thread.sleep(450)
                events(1..2)
                Thread.sleep(450)
                events(3..4)
                write(Scripts.LAST_CHUNK)
            }
        serve(engine)
        val answer = relay.call()

        expectThat(answer.body.removeSuffix("0")).isEqualTo(text(1..4))
        expectThat(answer.isComplete).isTrue()
        expectThat(engine.requests).hasSize(1)
    }

    @Test
    fun `guards against more streams on a path whose engine says that it is slow`() {
        val slow =
            endpoint("e1") { request, _ ->
                Thread.sleep(ANSWER_DELAY_MILLIS)
                completeStream(request, 1..2)
            }
        val fast = endpoint("e2") { request, _ -> completeStream(request, 1..2) }
        serve(slow, fast, isResumable = false)
        relay.paces["e1"] = 12.0

        val answers = List(3) { relay.call() }

        expectThat(answers.map { it.status }).isEqualTo(listOf(200, 200, 200))
        expectThat(slow.requests).hasSize(1)
        expectThat(fast.requests).hasSize(2)
    }

    @Test
    fun `guards against asking an engine again that said it is full`() {
        val full = endpoint("e1") { request, _ -> write(Scripts.refused(request)) }
        val free = endpoint("e2") { request, _ -> completeStream(request, 1..2) }
        serve(full, free)

        expectThat(relay.call().status).isEqualTo(200)
        expectThat(relay.call().status).isEqualTo(200)
        expectThat(full.requests).hasSize(1)
    }

    @Test
    fun `guards against a caller's own position being lost`() {
        val engine = endpoint("e1") { request, _ -> completeStream(request, 8..9) }
        serve(engine)
        val answer = relay.call(headers = mapOf("Last-Event-Id" to "7"))

        expectThat(answer.body.removeSuffix("0")).isEqualTo(text(8..9))
        expectThat(engine.requests.single()["Last-Event-Id"]).isEqualTo("7")
        expectThat(relay.call().status).isEqualTo(200)
        expectThat(engine.requests.last()["Last-Event-Id"]).isNull()
    }

    private companion object {
        /** Longer than a late first event of the route's objective. */
        const val ANSWER_DELAY_MILLIS = 300L
    }
}
