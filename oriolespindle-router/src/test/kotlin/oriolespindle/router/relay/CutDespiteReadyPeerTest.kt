package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.relay.RouteKind
import oriolespindle.router.http.Address
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import kotlin.time.Duration.Companion.milliseconds

/** Guards against answers that are begun during a shutdown, and may be cut, although another instance is ready. */
class CutDespiteReadyPeerTest {
    private val endpoint = ScriptedEndpoint("e1") { request, _ -> write(Scripts.whole(request, "answer")) }
    private val peer = DatagramSocket(0, InetAddress.getLoopbackAddress())
    private var relay: RelayFixture? = null

    @AfterEach
    fun close() {
        relay?.close()
        endpoint.close()
        peer.close()
    }

    private fun start(): RelayFixture {
        val grace = 2_500.milliseconds
        val shutdown = ShutdownSettings(unreadyFor = grace, quietFor = grace, acceptAtMost = grace, grace = grace)
        return RelayFixture(shutdown).also {
            relay = it
            it.configure(RelayFixture.route(RouteKind.IDEMPOTENT))
            it.register(endpoint.registration())
            it.setPeer("p", Address("127.0.0.1", peer.localPort))
        }
    }

    @Test
    fun `an answer of unknown duration is refused while another instance is ready and begun when it stops too`() {
        val relay = start()
        relay.shutDown()
        expectThat(relay.call().status).isEqualTo(503)

        val stop = """{"stopping":"p"}""".toByteArray()
        peer.send(DatagramPacket(stop, stop.size, InetAddress.getLoopbackAddress(), relay.refusals.port))
        expectThat(generateSequence { relay.call().status }.take(MAX_CALLS).first { it != 503 }).isEqualTo(200)
    }

    @Test
    fun `an instance that stops tells its zone`() {
        start().shutDown()
        val packet = DatagramPacket(ByteArray(MAX_DATAGRAM_BYTES), MAX_DATAGRAM_BYTES)
        peer.soTimeout = 5_000
        repeat(2) {
            peer.receive(packet)
            expectThat(String(packet.data, 0, packet.length)).isEqualTo("""{"stopping":"i"}""")
        }
    }

    private companion object {
        const val MAX_DATAGRAM_BYTES = 1_000

        /** The datagram arrives within a few calls. */
        const val MAX_CALLS = 50
    }
}
