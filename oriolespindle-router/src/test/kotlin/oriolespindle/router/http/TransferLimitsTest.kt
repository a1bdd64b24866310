package oriolespindle.router.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds

class TransferLimitsTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val listener = ServerSocket(0)

    @AfterEach
    fun close() {
        listener.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    /** Answers one call with [parts] bytes, one every [gapMillis], and returns its result. */
    private fun callWith(
        parts: Int,
        gapMillis: Long,
    ): HttpOutcome {
        thread(isDaemon = true) {
            runCatching {
                listener.accept().use { socket ->
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: $parts\r\n\r\n".toByteArray())
                    repeat(parts) {
                        Thread.sleep(gapMillis)
                        socket.getOutputStream().write('x'.code)
                    }
                    Thread.sleep(gapMillis)
                }
            }
        }
        val results = LinkedBlockingQueue<HttpOutcome>()
        val request = ClientRequest(Address("127.0.0.1", listener.localPort), "GET", "/")
        val limits = TransferLimits(maxGap = 400.milliseconds, maxExtension = 1_000.milliseconds)
        HttpClient(group).call(request, timeout = 300.milliseconds, limits, results::add)
        return checkNotNull(results.poll(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "no result" }
    }

    @Test
    fun `guards against giving up a response that is arriving`() {
        expectThat(callWith(parts = 6, gapMillis = 100)).isA<HttpOutcome.Response>().get { text }.isEqualTo("xxxxxx")
    }

    @Test
    fun `guards against waiting without end for a response that arrives byte by byte`() {
        expectThat(callWith(parts = 100, gapMillis = 100)).isEqualTo(HttpOutcome.Lost)
    }

    @Test
    fun `guards against more time for a peer that has fallen silent`() {
        expectThat(callWith(parts = 1, gapMillis = 2_000)).isEqualTo(HttpOutcome.Lost)
    }

    private companion object {
        const val RESULT_TIMEOUT_SECONDS = 5L
    }
}
