package oriolespindle.router.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.lifecycle.BeforeContainer
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** Guards the listeners against requests that are malformed, framed ambiguously, too large or too slow. */
class HttpServerTest {
    @Test
    fun `a request with a content length and chunked encoding is refused and its connection closed`() {
        val head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        val reply = exchange(head + "0\r\n\r\n" + GET)

        expectThat(reply).startsWith("HTTP/1.1 400").contains("malformed_request")
        expectThat(reply.contains(HANDLED)).isFalse()
    }

    @Test
    fun `a request with two content lengths is refused`() {
        val reply = exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab")

        expectThat(reply).startsWith("HTTP/1.1 400")
    }

    @Test
    fun `an unsupported transfer encoding is refused`() {
        val reply = exchange("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")

        expectThat(reply).startsWith("HTTP/1.1 400")
    }

    @Test
    fun `a body above the limit is refused before it is read`() {
        val reply = exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")

        expectThat(reply).startsWith("HTTP/1.1 413").contains("body_too_large")
    }

    @Test
    fun `chunks that add up to more than the limit are refused`() {
        val chunk = "400\r\n" + "x".repeat(0x400) + "\r\n"
        val reply = exchange("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(8))

        expectThat(reply).startsWith("HTTP/1.1 413")
    }

    @Test
    fun `headers above the limit are refused`() {
        val reply = exchange("GET / HTTP/1.1\r\nHost: a\r\nX-Long: ${"x".repeat(20_000)}\r\n\r\n")

        expectThat(reply).startsWith("HTTP/1.1 431")
    }

    @Test
    fun `a connection with an incomplete request is closed and others are served`() {
        open().use { slow ->
            slow.getOutputStream().write("POST / HTTP/1.1\r\nHost: a\r\nContent-".toByteArray())
            expectThat(exchange(GET)).contains(HANDLED)

            expectThat(slow.getInputStream().read()).isEqualTo(END_OF_STREAM)
        }
    }

    @Test
    fun `pipelined requests are answered in order`() {
        expectThat(Regex(HANDLED).findAll(exchange(GET + CLOSING_GET)).count()).isEqualTo(2)
    }

    @Test
    fun `an action that is set after the connection closed is still called, so that no permit leaks`() {
        open().use { it.getOutputStream().write("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray()) }
        val exchange = kept.poll(READ_TIMEOUT_MILLIS.toLong(), TimeUnit.MILLISECONDS)
        while (!exchange.isEnded) Thread.sleep(POLL_INTERVAL_MILLIS)
        var calls = 0

        exchange.whenAnswered { calls++ }

        expectThat(calls).isEqualTo(1)
    }

    @Property(tries = 200, seed = "4711")
    fun `arbitrary bytes neither stop the listener nor reach the handler as a request`(
        @ForAll bytes: ByteArray,
    ) {
        val before = handled.get()
        exchange(bytes)

        expectThat(handled.get()).isEqualTo(before)
        expectThat(exchange(CLOSING_GET)).contains(HANDLED)
    }

    @Test
    fun `serves a connection that waits to be accepted when the listener closes`() {
        val server = HttpServer(group, settings) { it.respond(HttpAnswer.json(200, HANDLED)) }
        val target = server.bind(Address("127.0.0.1", 0))
        val connected = CountDownLatch(1)
        group.next().execute {
            connected.await()
            server.stopAccepting()
        }
        Socket(target.host, target.port).use { socket ->
            socket.getOutputStream().write(CLOSING_GET.toByteArray())
            connected.countDown()

            expectThat(socket.getInputStream().readAllBytes().decodeToString()).contains(HANDLED)
        }
        Thread.sleep(ACCEPT_END_MILLIS)
        expectThrows<IOException> { Socket(target.host, target.port).close() }
    }

    // A connection that was established while the event loop was busy was reset by the close of the listener.
    @Test
    fun `serves a connection that is established just before the listener closes`() {
        val entered = CountDownLatch(1)
        val connected = CountDownLatch(1)
        lateinit var server: HttpServer
        server =
            HttpServer(group, settings) { exchange ->
                if (exchange.path == "/stop") {
                    server.stopAccepting()
                    entered.countDown()
                    connected.await()
                    Thread.sleep(ACCEPT_END_MILLIS)
                }
                exchange.respond(HttpAnswer.json(200, HANDLED))
            }
        val target = server.bind(Address("127.0.0.1", 0))
        Socket(target.host, target.port).use { stopping ->
            stopping.getOutputStream().write("GET /stop HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
            entered.await()
            Socket(target.host, target.port).use { late ->
                late.getOutputStream().write(CLOSING_GET.toByteArray())
                connected.countDown()

                expectThat(late.getInputStream().readAllBytes().decodeToString()).contains(HANDLED)
            }
        }
    }

    @Test
    fun `does not leave a begun response open when another one is sent`() {
        val server =
            HttpServer(group, HttpServerSettings()) { exchange ->
                exchange.beginStream(200, "text/event-stream")
                exchange.respond(HttpAnswer.json(503, HANDLED))
            }
        val target = server.bind(Address("127.0.0.1", 0))
        Socket(target.host, target.port).use { socket ->
            socket.soTimeout = CLOSE_TIMEOUT_MILLIS
            socket.getOutputStream().write(GET.toByteArray())
            val reply = socket.getInputStream().readAllBytes().decodeToString()

            expectThat(reply).startsWith("HTTP/1.1 200").not { contains("503") }
            expectThat(reply.endsWith("\r\n\r\n")).isTrue()
        }
    }

    private fun exchange(text: String): String = exchange(text.toByteArray())

    /** Sends [bytes], shuts down the output and returns what the server sends until it closes the connection. */
    private fun exchange(bytes: ByteArray): String =
        open().use { socket ->
            try {
                socket.getOutputStream().write(bytes)
                socket.shutdownOutput()
                socket.getInputStream().readAllBytes().decodeToString()
            } catch (_: IOException) {
                // The server may reset the connection of a client that sends too much.
                ""
            }
        }

    private fun open(): Socket = Socket(address.host, address.port).apply { soTimeout = READ_TIMEOUT_MILLIS }

    private companion object {
        const val GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        const val CLOSING_GET = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        const val HANDLED = "it was handled"
        const val END_OF_STREAM = -1
        const val READ_TIMEOUT_MILLIS = 60_000
        const val CLOSE_TIMEOUT_MILLIS = 5_000
        const val POLL_INTERVAL_MILLIS = 5L

        /** Much longer than a closing listener goes on accepting. */
        const val ACCEPT_END_MILLIS = 500L
        val handled = AtomicInteger()
        val kept = LinkedBlockingQueue<ServerExchange>()
        private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        private val settings =
            HttpServerSettings(maxBodyBytes = 4_096, requestTimeout = 500.milliseconds, idleTimeout = 500.milliseconds)
        lateinit var address: Address

        @JvmStatic
        @BeforeAll
        @BeforeContainer
        fun start() {
            val server =
                HttpServer(group, settings) { exchange ->
                    handled.incrementAndGet()
                    if (exchange.path ==
                        "/kept"
                    ) {
                        kept.add(exchange)
                    } else {
                        exchange.respond(HttpAnswer.json(200, HANDLED))
                    }
                }
            address = server.bind(Address("127.0.0.1", 0))
        }
    }
}
