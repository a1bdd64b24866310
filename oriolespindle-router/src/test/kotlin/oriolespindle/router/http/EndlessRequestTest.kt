package oriolespindle.router.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.ByteQuota
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Callers that send bodies or heads without end on many connections. */
class EndlessRequestTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val held = LinkedBlockingQueue<ServerExchange>()
    private val server = HttpServer(group, bodies = ByteQuota(QUOTA_BYTES), handler = ::handle)
    private val address = server.bind(Address("127.0.0.1", 0))

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun handle(exchange: ServerExchange) {
        if (exchange.path == "/held") held += exchange else exchange.respond(HttpAnswer(OK))
    }

    private fun <T> exchange(
        request: String,
        read: (Socket) -> T,
    ): T =
        Socket(address.host, address.port).use { socket ->
            socket.getOutputStream().write(request.toByteArray())
            read(socket)
        }

    private fun answer(request: String): String =
        exchange(request) { it.getInputStream().readAllBytes().decodeToString() }

    private fun post(
        path: String,
        bodyBytes: Int,
        announcedBytes: Int = bodyBytes,
    ) = "POST $path HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: $announcedBytes\r\n\r\n" +
        "x".repeat(bodyBytes)

    // Only the body of each request was bounded, not those of all connections.
    @Test
    fun `guards against bodies of many connections that use up the memory of small requests`() {
        val unfinished = List(2) { exchangeOpen(post("/", bodyBytes = LARGE_BODY, announcedBytes = LARGE_BODY + 1)) }
        expectThat(answer(post("/", LARGE_BODY + 1))) {
            startsWith("HTTP/1.1 503")
            contains("Retry-After: 1\r\n")
            contains("\"outcome\":\"not_run\"")
        }
        expectThat(answer(post("/", SMALL_BODY))).startsWith("HTTP/1.1 200")

        unfinished.forEach { it.close() }
        awaitServed(post("/", LARGE_BODY))
    }

    @Test
    fun `guards against bodies of requests in progress that are not counted, or not released`() {
        val waiting = List(2) { exchangeOpen(post("/held", LARGE_BODY)) }
        val exchanges = List(2) { checkNotNull(held.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)) }
        expectThat(answer(post("/", LARGE_BODY))).startsWith("HTTP/1.1 503")

        exchanges.forEach { it.respond(HttpAnswer(OK)) }
        awaitServed(post("/", LARGE_BODY))
        waiting.forEach { it.close() }
    }

    @Test
    fun `guards against short fields without end, which take much more memory than bytes`() {
        val fields = "a:b\r\n".repeat(MANY_FIELDS)
        val unfinished = exchangeOpen("GET / HTTP/1.1\r\nHost: a\r\n$fields")
        val next = "GET / HTTP/1.1\r\nConnection: close\r\n$fields\r\n"
        expectThat(answer(next)) {
            startsWith("HTTP/1.1 503")
            contains("Retry-After: 1\r\n")
        }
        expectThat(answer("GET / HTTP/1.1\r\nConnection: close\r\n" + "a:b\r\n".repeat(FREE_FIELDS - 2) + "\r\n"))
            .startsWith("HTTP/1.1 200")

        unfinished.close()
        repeat(TRIES) { awaitServed(next) }
    }

    @Test
    fun `guards against short fields of requests in progress that are not counted`() {
        val fields = "a:b\r\n".repeat(MANY_FIELDS)
        val waiting = exchangeOpen("GET /held HTTP/1.1\r\nHost: a\r\n$fields\r\n")
        val exchange = checkNotNull(held.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
        val next = "GET / HTTP/1.1\r\nConnection: close\r\n$fields\r\n"
        expectThat(answer(next)).startsWith("HTTP/1.1 503")

        exchange.respond(HttpAnswer(OK))
        awaitServed(next)
        waiting.close()
    }

    /** Sends [request] and returns its connection once the server has read it. */
    private fun exchangeOpen(request: String): Socket {
        val socket = Socket(address.host, address.port)
        socket.getOutputStream().write(request.toByteArray())
        Thread.sleep(READ_MILLIS)
        return socket
    }

    /** The server learns of a close or of the end of an exchange some time after the test. */
    private fun awaitServed(request: String) {
        val statuses = generateSequence { answer(request).substringAfter(' ').substringBefore(' ') }
        expectThat(statuses.onEach { Thread.sleep(READ_MILLIS) }.take(TRIES).first { it == "200" }).isEqualTo("200")
    }

    private companion object {
        const val OK = 200

        /** Enough for two large bodies. */
        const val QUOTA_BYTES = 200_000
        const val LARGE_BODY = 90_000
        const val SMALL_BODY = 1_000
        const val FREE_FIELDS = 256

        /** Their memory is more than half of the quota. */
        const val MANY_FIELDS = 1_000
        const val TIMEOUT_SECONDS = 5L
        const val READ_MILLIS = 100L
        const val TRIES = 30
    }
}
