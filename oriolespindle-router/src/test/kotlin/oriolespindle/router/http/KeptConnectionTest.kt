package oriolespindle.router.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.io.IOException
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against requests on open connections that get neither an answer nor a refusal. */
class KeptConnectionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val held = LinkedBlockingQueue<ServerExchange>()
    private val server = HttpServer(group, HttpServerSettings(idleTimeout = SHORT_IDLE), handler = ::handle)
    private val address = server.bind(Address("127.0.0.1", 0))
    private val caller by lazy { Socket(address.host, address.port).apply { soTimeout = READ_TIMEOUT_MILLIS } }

    private fun handle(exchange: ServerExchange) {
        when (exchange.path) {
            "/pause" -> Thread.sleep(PAUSE_MILLIS)
            "/held" -> held += exchange
            "/fails" -> error("the handler fails")
        }
        if (exchange.path != "/held") exchange.respond(HttpAnswer.json(200, exchange.path))
    }

    @AfterEach
    fun close() {
        caller.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    /** A caller relies on the limit in force, which may be above that of the moment when it connected. */
    @Test
    fun `a raised idle limit did not reach open connections`() {
        send("/first")
        expectThat(nextAnswer()).isEqualTo("200 /first")
        server.settings = HttpServerSettings(idleTimeout = 30.seconds)
        Thread.sleep(2 * SHORT_IDLE.inWholeMilliseconds)
        send("/second")

        expectThat(nextAnswer()).isEqualTo("200 /second")
    }

    /** A request that is readable when the idle limit is reached must not be reset by the close. */
    @Test
    fun `a request that arrived during a pause of the event loop was closed as idle`() {
        send("/first")
        expectThat(nextAnswer()).isEqualTo("200 /first")
        pauseEventLoop()
        send("/second")

        expectThat(nextAnswer()).isEqualTo("200 /second")
    }

    /** The same holds for the close of idle connections during a shutdown. */
    @Test
    fun `a request that arrived before idle connections were closed was not answered`() {
        server.settings = HttpServerSettings(idleTimeout = 30.seconds)
        send("/first")
        expectThat(nextAnswer()).isEqualTo("200 /first")
        pauseEventLoop()
        server.closeIdleConnections(idleFor = Duration.ZERO)
        send("/second")

        expectThat(nextAnswer()).isEqualTo("200 /second")
    }

    /** The limit on the size of a body is that in force when the request arrives. */
    @Test
    fun `a raised body limit did not reach open connections`() {
        server.settings = HttpServerSettings(maxBodyBytes = 1)
        send("/first")
        expectThat(nextAnswer()).isEqualTo("200 /first")
        server.settings = HttpServerSettings(maxBodyBytes = 100)
        write("POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")

        expectThat(nextAnswer()).isEqualTo("200 /second")
    }

    /** Callers may send their next request on a connection whose close was not announced. */
    @Test
    fun `a shutdown during a stream closed the connection under the request behind it`() {
        send("/held")
        val stream = nextHeld()
        stream.beginStream(200, "text/event-stream")
        send("/second")
        stream.writeChunk("event".toByteArray())
        expectThat(nextAnswerHead()).isEqualTo("200")
        server.closing = true
        stream.endStream()
        expectThat(rest().contains("/second")).isEqualTo(true)
    }

    /** A request that waits behind an answer is answered, and its own answer announces the close. */
    @Test
    fun `a shutdown dropped the request that waited behind an answer`() {
        send("/held")
        send("/second")
        val first = nextHeld()
        awaitLoop()
        server.closing = true
        first.respond(HttpAnswer.json(200, "/held"))

        expectThat(listOf(nextAnswer(), nextAnswer())).isEqualTo(listOf("200 /held", "200 /second"))
    }

    /** Reading pauses while requests wait, rather than closing a connection whose first request is running. */
    @Test
    fun `a third request closed the connection under the first`() {
        send("/held")
        val first = nextHeld()
        repeat(WAITING) { send("/$it") }
        awaitLoop()
        first.respond(HttpAnswer.json(200, "/held"))

        expectThat(List(WAITING + 1) { nextAnswer() })
            .isEqualTo(listOf("200 /held") + List(WAITING) { "200 /$it" })
    }

    /** A caller takes the first answer for that of its first request, which was still running. */
    @Test
    fun `the rejection of a malformed request came as the answer to the one before it`() {
        send("/held")
        val first = nextHeld()
        write("GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")
        awaitLoop()
        first.respond(HttpAnswer.json(200, "/held"))

        expectThat(nextAnswer()).isEqualTo("200 /held")
        expectThat(nextAnswer().substringBefore(' ')).isEqualTo("400")
    }

    /** A connection with a part of a request is not idle. */
    @Test
    fun `a request that began to arrive during an answer was closed as idle`() {
        send("/held")
        val first = nextHeld()
        write("GET /second HTTP/1.1\r\nHo")
        awaitLoop()
        first.respond(HttpAnswer.json(200, "/held"))
        expectThat(nextAnswer()).isEqualTo("200 /held")
        awaitLoop()
        server.closeIdleConnections(idleFor = Duration.ZERO)
        awaitLoop()
        write("st: a\r\n\r\n")

        expectThat(nextAnswer()).isEqualTo("200 /second")
    }

    /** The connection of a request whose handler fails must not close without an answer. */
    @Test
    fun `an unexpected error left a request without an answer`() {
        send("/fails")
        expectThat(nextAnswer().substringBefore(' ')).isEqualTo("502")
        send("/second")

        expectThat(nextAnswer()).isEqualTo("200 /second")
    }

    /** A handler that fails for a request that has waited has no connection event that could report it. */
    @Test
    fun `an unexpected error left a request that had waited without an answer`() {
        send("/held")
        send("/fails")
        val first = nextHeld()
        awaitLoop()
        first.respond(HttpAnswer.json(200, "/held"))

        expectThat(listOf(nextAnswer(), nextAnswer().substringBefore(' '))).isEqualTo(listOf("200 /held", "502"))
    }

    /** Headers that cannot be written must not leave the caller waiting on an open connection. */
    @Test
    fun `an answer that could not be built left its caller without an answer`() {
        send("/held")
        val exchange = nextHeld()
        runCatching { exchange.respond(HttpAnswer.json(200, "", listOf("X" to "a\nb"))) }
        expectThat(exchange.isEnded).isFalse()
        exchange.respond(HttpAnswer.json(503, "/held"))

        expectThat(nextAnswer()).isEqualTo("503 /held")
    }

    private fun send(path: String) = write("GET $path HTTP/1.1\r\nHost: a\r\n\r\n")

    private fun write(text: String) = caller.getOutputStream().write(text.toByteArray())

    /** Occupies the event loop, while it reads from another connection, until after the idle limit of [caller]. */
    private fun pauseEventLoop() {
        val other = Socket(address.host, address.port)
        other.getOutputStream().write("GET /pause HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
        Thread.sleep(PAUSE_MILLIS / 3)
    }

    /** Waits until the event loop has read what was sent. */
    private fun awaitLoop() = Thread.sleep(SETTLE_MILLIS)

    private fun nextHeld(): ServerExchange =
        checkNotNull(held.poll(READ_TIMEOUT_MILLIS.toLong(), TimeUnit.MILLISECONDS))

    private fun nextAnswerHead(): String = readHead()?.substringAfter(' ')?.substringBefore(' ') ?: NO_ANSWER

    /** Returns the status and the body of the next answer. */
    private fun nextAnswer(): String {
        val head = readHead() ?: return NO_ANSWER
        val length =
            Regex("content-length: (\\d+)")
                .find(head)
                ?.groupValues
                ?.get(1)
                ?.toInt() ?: 0
        val body = caller.getInputStream().readNBytes(length).decodeToString()
        return "${head.substringAfter(' ').substringBefore(' ')} $body"
    }

    /** Reads up to the end of a head; null if the connection ends before. */
    private fun readHead(): String? {
        val head = StringBuilder()
        try {
            while (!head.endsWith("\r\n\r\n")) {
                val byte = caller.getInputStream().read()
                if (byte < 0) return null
                head.append(byte.toChar())
            }
        } catch (_: IOException) {
            return null
        }
        return head.toString()
    }

    /** Reads until the connection ends. */
    private fun rest(): String =
        try {
            caller.getInputStream().readAllBytes().decodeToString()
        } catch (_: IOException) {
            NO_ANSWER
        }

    private companion object {
        const val NO_ANSWER = "no answer"
        const val WAITING = 4
        const val PAUSE_MILLIS = 900L
        const val SETTLE_MILLIS = 200L
        const val READ_TIMEOUT_MILLIS = 10_000

        /** Ends within a pause. */
        val SHORT_IDLE = 600.milliseconds
    }
}
