package oriolespindle.router.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.RequestId
import oriolespindle.router.endpoint.EngineSignal
import oriolespindle.router.endpoint.EngineStream
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformObject
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.relay.AnswerForm
import oriolespindle.router.relay.CutAnswer
import oriolespindle.router.relay.ScriptedEndpoint
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against an answer that breaks off at any byte and that the product's own calls take for complete. */
class CutAnswerOfClientTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val http = HttpClient(group)

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    /** Returns the unexpected results of [call] over all ways to cut each of [forms]. */
    private fun <T : Any> unexpected(
        forms: List<AnswerForm>,
        isExpected: (T) -> Boolean,
        call: (Address, CutAnswer, (T) -> Unit) -> Unit,
    ): List<String> {
        var current: CutAnswer? = null
        return ScriptedEndpoint("e") { _, _ -> current?.send(this, "n1") }.use { endpoint ->
            forms.flatMap { it.cuts() }.mapNotNull { cut ->
                current = cut
                val results = LinkedBlockingQueue<T>()
                call(Address.parse(endpoint.address), cut, results::add)
                val result = results.poll(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                if (result != null && isExpected(result)) null else "$cut: $result"
            }
        }
    }

    @Test
    fun `reports a call as lost`() {
        val unexpected =
            unexpected<HttpOutcome>(AnswerForm.ofCalls, { it == HttpOutcome.Lost }) { address, cut, result ->
                http.call(ClientRequest(address, cut.method, "/"), 5.seconds, result = result)
            }
        expectThat(unexpected).isEmpty()
    }

    @Test
    fun `reports a write to the platform as possibly applied`() {
        val value = """{"kind":"k","name":"n","version":7,"value":1}"""
        val bodies = listOf("200 OK" to value, "404 Not Found" to "{}", "412 Precondition Failed" to value)
        val forms =
            bodies.flatMap { (status, body) ->
                val head = "HTTP/1.1 $status\r\n"
                listOf(
                    AnswerForm(status, "${head}Content-Length: ${body.length}\r\n\r\n", body),
                    AnswerForm("$status, no length", "$head\r\n", body, endsWithConnection = true),
                )
            }
        val isUnavailable = { result: PlatformResult<PlatformObject> -> result == PlatformResult.Unavailable(true) }
        val unexpected =
            unexpected<PlatformResult<PlatformObject>>(forms, isUnavailable) { address, _, result ->
                PlatformClient(http, address).put("k", "n", JsonPrimitive(1), expectedVersion = 6, result)
            }
        expectThat(unexpected).isEmpty()
    }

    @Test
    fun `reports neither the end of an engine's stream nor its refusal`() {
        val refusal = """{"request":"r1","attempt":1,"outcome":"not_run","reason":"busy"}"""
        val forms =
            listOf(
                AnswerForm("refusal", "HTTP/1.1 503 Busy\r\nContent-Length: ${refusal.length}\r\n\r\n", refusal),
                AnswerForm("refusal, no length", "HTTP/1.1 503 Busy\r\n\r\n", refusal, endsWithConnection = true),
                AnswerForm("stream", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"),
                AnswerForm("stream, no length", "HTTP/1.1 200 OK\r\n\r\n", endsWithConnection = true),
            )
        val isLost = { signal: EngineSignal -> signal is EngineSignal.Failed && signal.sent }
        val unexpected =
            unexpected<EngineSignal>(forms, isLost) { address, _, result ->
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
