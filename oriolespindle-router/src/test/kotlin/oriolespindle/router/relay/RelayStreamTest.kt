package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import oriolespindle.router.http.Address
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress

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
    fun `relays a stream unchanged and sends its path to the engine`() {
        val engine = endpoint("e1") { request, _ -> completeStream(request, 1..5) }
        serve(engine)
        val answer = relay.call()

        expectThat(answer.status).isEqualTo(200)
        expectThat(answer.body.removeSuffix("0")).isEqualTo(text(1..5))
        expectThat(answer.isComplete).isTrue()
        expectThat(engine.requests.single()["Path"]).isEqualTo("${engine.address}=0-4")
    }

    @Test
    fun `resumes without a missing or repeated event after a connection breaks inside an event`() {
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
    fun `does not join a second run that skips an event`() {
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
    fun `does not join a second run that starts over`() {
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.streamHead(request))
                events(1..3)
                Thread.sleep(50)
                reset()
            }
        serve(first, endpoint("e2") { request, _ -> completeStream(request, 1..6) })
        val answer = relay.call()

        expectThat(answer.body).isEqualTo(text(1..3))
        expectThat(answer.isComplete).isFalse()
    }

    @Test
    fun `does not run a stream twice if it is not resumable`() {
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
    fun `resumes a stream elsewhere when its engine goes silent`() {
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
    fun `keeps waiting for a paused stream that cannot run again`() {
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
    fun `moves all streams off an engine that one stream has found lost`() {
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
    fun `keeps a stream that continues while its stall is checked`() {
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
    fun `avoids an engine that reports a slow pace`() {
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
    fun `does not send the next stream to an engine that refused one`() {
        val full = endpoint("e1") { request, _ -> write(Scripts.refused(request)) }
        val free = endpoint("e2") { request, _ -> completeStream(request, 1..2) }
        serve(full, free)

        expectThat(relay.call().status).isEqualTo(200)
        expectThat(relay.call().status).isEqualTo(200)
        expectThat(full.requests).hasSize(1)
    }

    @Test
    fun `tells the other instances which engine another engine reports`() {
        val lost = endpoint("e2") { request, _ -> completeStream(request, 1..2) }
        val first =
            endpoint("e1") { request, _ ->
                write(Scripts.refused(request).replace("Not-Run", "Faulty: ${lost.address}\r\nNot-Run"))
            }
        serve(first, lost)
        DatagramSocket(0, InetAddress.getLoopbackAddress()).use { peer ->
            peer.soTimeout = DATAGRAM_TIMEOUT_MILLIS
            relay.setPeer("p", Address("127.0.0.1", peer.localPort))
            relay.call()
            val packet = DatagramPacket(ByteArray(MAX_DATAGRAM_BYTES), MAX_DATAGRAM_BYTES)
            peer.receive(packet)

            expectThat(String(packet.data, 0, packet.length)).isEqualTo("""{"endpoint":"e2","startedAt":1}""")
        }
    }

    @Test
    fun `avoids an engine that another instance reports and ignores datagrams that it cannot decode`() {
        val reported = endpoint("e1") { request, _ -> completeStream(request, 1..2) }
        val other = endpoint("e2") { request, _ -> completeStream(request, 1..2) }
        serve(reported, other)
        DatagramSocket().use { peer ->
            val target = relay.refusals.toSocketAddress()
            for (text in listOf("no JSON", """{"endpoint":7}""", """{"endpoint":"e1","startedAt":1}""")) {
                peer.send(DatagramPacket(text.toByteArray(), text.length, target))
            }
        }
        Thread.sleep(DATAGRAM_DELAY_MILLIS)

        expectThat(relay.call().isComplete).isTrue()
        expectThat(reported.requests).hasSize(0)
    }

    @Test
    fun `forwards the caller's Last-Event-ID`() {
        val engine = endpoint("e1") { request, _ -> completeStream(request, 8..9) }
        serve(engine)
        val answer = relay.call(headers = mapOf("Last-Event-Id" to "7"))

        expectThat(answer.body.removeSuffix("0")).isEqualTo(text(8..9))
        expectThat(engine.requests.single()["Last-Event-Id"]).isEqualTo("7")
        expectThat(relay.call().status).isEqualTo(200)
        expectThat(engine.requests.last()["Last-Event-Id"]).isNull()
    }

    private companion object {
        const val DATAGRAM_TIMEOUT_MILLIS = 5_000
        const val MAX_DATAGRAM_BYTES = 512

        /** Shorter than the first backoff after a refusal. */
        const val DATAGRAM_DELAY_MILLIS = 50L

        /** Long enough that the first event is late by the route's objective. */
        const val ANSWER_DELAY_MILLIS = 300L
    }
}
