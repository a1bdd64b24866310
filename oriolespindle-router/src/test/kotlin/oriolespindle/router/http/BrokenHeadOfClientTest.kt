package oriolespindle.router.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.http.AnswerFault
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.RequestId
import oriolespindle.router.endpoint.EngineSignal
import oriolespindle.router.endpoint.EngineStream
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformObject
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.platform.WatchLine
import oriolespindle.router.relay.BrokenHead
import oriolespindle.router.relay.ScriptedEndpoint
import oriolespindle.router.relay.Scripts
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.Optional
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against an answer whose head is not valid HTTP/1.1 and that the product's own calls use. */
class BrokenHeadOfClientTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val faults = LinkedBlockingQueue<AnswerFault>()
    private val http = HttpClient(group, onFault = faults::add)

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    /** Returns the unexpected results of [call] over [answers]; the server closes the connection after each. */
    private fun <A, T : Any> unexpected(
        answers: List<Pair<A, String>>,
        isExpected: (A, T) -> Boolean,
        call: (Address, (T) -> Unit) -> Unit,
    ): List<String> {
        var current = ""
        val script =
            ScriptedEndpoint("e") { _, _ ->
                write(current)
                close()
            }
        return script.use { endpoint ->
            answers.mapNotNull { (name, answer) ->
                current = answer
                val results = LinkedBlockingQueue<T>()
                call(Address.parse(endpoint.address), results::add)
                val result = results.poll(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                if (result != null && isExpected(name, result)) null else "$name: $result"
            }
        }
    }

    private fun broken(body: String) =
        BrokenHead.all.map { it to it.answer("Name: 1\r\n", "Content-Length: ${body.length}\r\n", body) }

    private fun failures(
        address: Address,
        result: (ClientEvent.Failed) -> Unit,
    ) {
        http.send(ClientRequest(address, "GET", "/")) { event ->
            if (event is ClientEvent.Failed) result(event)
            true
        }
    }

    @Test
    fun `tells the faults of heads apart`() {
        val unexpected =
            unexpected<BrokenHead, ClientEvent.Failed>(
                broken("body"),
                { head, failed -> failed.fault == head.fault && faults.poll(1, TimeUnit.SECONDS) == head.fault },
                ::failures,
            )
        expectThat(unexpected).isEmpty()
    }

    @Test
    fun `tells faults of the body and of its end apart from those of the head`() {
        val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        val answers =
            BrokenHead.names.map { AnswerFault.TRAILER to "${head}0\r\n${it.trailer()}" } +
                listOf("zz\r\n", "-4\r\nbody\r\n", "4\r\nbodyzz", "4\r\nbody\r\nzz\r\n")
                    .map { AnswerFault.CHUNK to head + it } +
                head.indices.drop(1).map { AnswerFault.HEAD_CUT to head.take(it) } +
                (AnswerFault.SURPLUS to "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(5_000))
        val unexpected =
            unexpected<AnswerFault, ClientEvent.Failed>(answers, { fault, it -> it.fault == fault }, ::failures)
        expectThat(unexpected).isEmpty()
        // A fault is reported after the end of its call.
        val reported = answers.map { faults.poll(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        expectThat(reported).isEqualTo(answers.map { it.first })
        expectThat(faults.toList()).isEmpty()
    }

    @Test
    fun `a connection that ends before or after a head has no fault of the head`() {
        val answers = listOf("", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n")
        val unexpected =
            unexpected<String, ClientEvent.Failed>(
                answers.map { it to it },
                { _, it -> it == ClientEvent.Failed(FailureKind.CONNECTION_LOST, sent = true) },
                ::failures,
            )
        expectThat(unexpected).isEmpty()
        expectThat(faults.toList()).isEmpty()
    }

    @Test
    fun `reports a call as lost`() {
        val unexpected =
            unexpected<BrokenHead, HttpOutcome>(
                broken("body"),
                { _, it -> it == HttpOutcome.Lost },
            ) { address, result ->
                http.call(ClientRequest(address, "POST", "/"), 5.seconds, result = result)
            }
        expectThat(unexpected).isEmpty()
    }

    @Test
    fun `reports a write to the platform as possibly applied`() {
        val answers = broken("""{"kind":"k","name":"n","version":7,"value":1}""")
        val unexpected =
            unexpected<BrokenHead, PlatformResult<PlatformObject>>(
                answers,
                { _, it -> it == PlatformResult.Unavailable(true) },
            ) { address, result ->
                PlatformClient(http, address).put("k", "n", JsonPrimitive(1), expectedVersion = 6, result)
            }
        expectThat(unexpected).isEmpty()
    }

    @Test
    fun `reads no line of a watch`() {
        val answers = broken("""{"type":"bookmark","revision":7}""" + "\n")
        val unexpected =
            unexpected<BrokenHead, Optional<WatchLine>>(answers, { _, it -> it.isEmpty }) { address, result ->
                PlatformClient(http, address).watch(listOf("k"), from = 6) { result(Optional.ofNullable(it)) }
            }
        expectThat(unexpected).isEmpty()
    }

    @Test
    fun `reports neither the end of an engine's stream nor its refusal`() {
        val refusal = """{"request":"r1","attempt":1,"outcome":"not_run","reason":"busy"}"""
        val answers =
            broken(refusal).map { (head, text) -> head to text.replaceFirst("200 ", "503 ") } +
                BrokenHead.all.map { it to it.answer("", "Transfer-Encoding: chunked\r\n", Scripts.LAST_CHUNK) }
        val unexpected =
            unexpected<BrokenHead, EngineSignal>(
                answers,
                { _, it -> it is EngineSignal.Failed && it.sent },
            ) { address, result ->
                val stream =
                    EngineStream(RequestId("r1"), AttemptNumber.FIRST) { signal -> result(signal).let { true } }
                http.send(ClientRequest(address, "POST", "/")) { stream.handle(it) }
            }
        expectThat(unexpected).isEmpty()
    }

    private companion object {
        const val RESULT_TIMEOUT_SECONDS = 5L
    }
}
