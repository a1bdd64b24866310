package oriolespindle.router.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Guards against a request that reaches a server which began to leave while the connection was opened. */
class UnwantedRequestTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
        server.close()
    }

    @Test
    fun `closes the connection without a byte and reports the request as not sent`() {
        val events = LinkedBlockingQueue<ClientEvent>()
        val request = ClientRequest(Address("127.0.0.1", server.localPort), "POST", "/", isWanted = { false })
        HttpClient(group).send(request) { event -> events.add(event) }

        val received = server.accept().use { it.getInputStream().readAllBytes().size }
        expectThat(received).isEqualTo(0)
        expectThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo(ClientEvent.Failed(FailureKind.UNWANTED, sent = false))
    }
}
