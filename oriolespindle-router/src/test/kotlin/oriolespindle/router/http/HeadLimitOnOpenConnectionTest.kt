package oriolespindle.router.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.startsWith
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit

/** Guards against proper heads that are denied by a limit which a connection keeps from the time it was opened. */
class HeadLimitOnOpenConnectionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val server = HttpServer(group, limit(LOW)) { it.respond(HttpAnswer.json(200, "${it.uri.length}")) }
    private val address = server.bind(Address("127.0.0.1", 0))
    private val caller = Socket(address.host, address.port).apply { soTimeout = READ_TIMEOUT_MILLIS }

    @AfterEach
    fun close() {
        caller.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    private fun limit(
        bytes: Int,
        isFinal: Boolean = true,
    ) = HttpServerSettings(maxHeaderBytes = bytes, areLimitsFinal = isFinal)

    private fun head(
        valueBytes: Int = 1,
        pathBytes: Int = 1,
    ): String = "GET /${"p".repeat(pathBytes)} HTTP/1.1\r\nHost: a\r\nX-Long: ${"x".repeat(valueBytes)}\r\n\r\n"

    private fun send(text: String) = caller.getOutputStream().write(text.toByteArray())

    /** Returns what arrives next, until the caller has a whole answer with a body or the connection ends. */
    private fun answer(): String {
        val text = StringBuilder()
        val bytes = ByteArray(READ_BYTES)
        while (!text.contains(Regex("\r\n\r\n.+"))) {
            val count = caller.getInputStream().read(bytes)
            if (count < 0) break
            text.append(String(bytes, 0, count, Charsets.ISO_8859_1))
        }
        return text.toString()
    }

    private fun ask(text: String): String {
        send(text)
        return answer()
    }

    @Test
    fun `a raised limit on heads did not reach open connections`() {
        expectThat(ask(head())).startsWith("HTTP/1.1 200")
        server.settings = limit(HIGH)
        expectThat(ask(head(valueBytes = HIGH - MARGIN))).startsWith("HTTP/1.1 200")
        expectThat(ask(head(valueBytes = HIGH))).startsWith("HTTP/1.1 431")
    }

    @Test
    fun `request lines had a limit of their own`() {
        server.settings = limit(HIGH)
        expectThat(ask(head(pathBytes = HIGH - MARGIN))) {
            startsWith("HTTP/1.1 200")
            contains("${HIGH - MARGIN + 1}")
        }
        expectThat(ask(head(pathBytes = HIGH / 2, valueBytes = HIGH / 2))).startsWith("HTTP/1.1 431")
    }

    @Test
    fun `heads of many short fields were malformed`() {
        val fields = (1..SHORT_FIELDS).joinToString("") { "a$it: b\r\n" }
        expectThat(ask("GET /fields HTTP/1.1\r\nHost: a\r\n$fields\r\n")).startsWith("HTTP/1.1 200")
        expectThat(ask(head())).startsWith("HTTP/1.1 200")
    }

    @Test
    fun `a limit that is raised while a head is received holds for it`() {
        val text = head(valueBytes = HIGH - MARGIN)
        send(text.take(LOW / 2))
        Thread.sleep(PAUSE_MILLIS)
        server.settings = limit(HIGH)
        expectThat(ask(text.drop(LOW / 2))).startsWith("HTTP/1.1 200")
    }

    @Test
    fun `a limit that is lowered while a head is received holds from the next one on`() {
        server.settings = limit(HIGH)
        expectThat(ask(head())).startsWith("HTTP/1.1 200")
        val text = head(valueBytes = HIGH - MARGIN)
        send(text.take(LOW / 2))
        Thread.sleep(PAUSE_MILLIS)
        server.settings = limit(LOW)
        expectThat(ask(text.drop(LOW / 2))).startsWith("HTTP/1.1 200")
        expectThat(ask(text)).startsWith("HTTP/1.1 431")
    }

    @Test
    fun `pipelined heads are counted one by one`() {
        repeat(PIPELINED) { send(head(valueBytes = LOW - MARGIN)) }
        val answers = StringBuilder()
        while (answers.split("200 OK").size <= PIPELINED) answers.append(answer())
        expectThat(answers.split("200 OK").size).isEqualTo(PIPELINED + 1)
    }

    @Test
    fun `a line without end is rejected soon after the limit`() {
        val part = "x".repeat(LOW)
        var sent = 0L
        try {
            send("GET /")
            while (sent < MAX_SENT) {
                send(part)
                sent += part.length
            }
        } catch (_: IOException) {
            // The server has closed the connection.
        }
        expectThat(sent).isLessThan(MAX_SENT)
    }

    @Test
    fun `requests above limits that are not known yet may be sent again`() {
        server.settings = limit(LOW, isFinal = false)
        expectThat(ask(head(valueBytes = LOW))) {
            startsWith("HTTP/1.1 503")
            contains("Retry-After: 1\r\n")
            contains("\"outcome\":\"not_run\"")
        }
    }

    private companion object {
        const val LOW = 16_384
        const val HIGH = 40_000

        /** More than the rest of the head. */
        const val MARGIN = 60
        const val PIPELINED = 12
        const val SHORT_FIELDS = 300
        const val MAX_SENT = 64L * 1024 * 1024
        const val READ_BYTES = 64 * 1024
        const val READ_TIMEOUT_MILLIS = 5_000
        const val PAUSE_MILLIS = 100L
    }
}
