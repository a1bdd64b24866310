package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.router.http.Address
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.SocketTimeoutException

class LoadSharingTest {
    private val relay = RelayFixture()
    private val peers = List(3) { DatagramSocket(0, InetAddress.getLoopbackAddress()) }

    @AfterEach
    fun close() {
        relay.close()
        peers.forEach { it.close() }
    }

    private fun setPeers(count: Int) =
        relay.setPeers(
            peers.take(count).withIndex().associate { (index, peer) ->
                "p$index" to Address("127.0.0.1", peer.localPort)
            },
        )

    /** Returns the next datagram of the relay to [peer], or null if none arrives within two report intervals. */
    private fun receive(peer: DatagramSocket): String? {
        val packet = DatagramPacket(ByteArray(MAX_BYTES), MAX_BYTES)
        peer.soTimeout = TWO_EMPTY_INTERVALS_MILLIS
        return try {
            peer.receive(packet)
            String(packet.data, 0, packet.length)
        } catch (_: SocketTimeoutException) {
            null
        }
    }

    @Test
    fun `guards against reports in zones of few instances, and their absence in others`() {
        setPeers(2)
        expectThat(receive(peers[0])).isNull()

        setPeers(3)
        expectThat(receive(peers[0])).isEqualTo("""{"load":{"from":"i","sequence":1}}""")
    }

    @Test
    fun `guards against reports above the size that Netty reads by default`() {
        setPeers(3)
        val tokens = (1..300).joinToString(",") { """"10.0.0.$it:8080":123456""" }
        val report = """{"load":{"from":"p1","sequence":1,"tokens":{$tokens}}}""".toByteArray()
        receive(peers[0])
        peers[1].send(DatagramPacket(report, report.size, InetAddress.getLoopbackAddress(), relay.refusals.port))

        receive(peers[0])

        expectThat(relay.metrics()).contains("oriolespindle_relay_load_peers 1.0")
    }

    @Test
    fun `guards against a length hint that is ignored, exceeds the caller's maximum or is no number`() {
        expectThat(expectedTokens("100,500", model = null, lengthHint = "300")).isEqualTo(400)
        expectThat(expectedTokens("100,200", model = null, lengthHint = "300")).isEqualTo(300)
        expectThat(expectedTokens("100,200", model = null, lengthHint = "short")).isEqualTo(100)
    }

    private companion object {
        const val MAX_BYTES = 65_507
        const val TWO_EMPTY_INTERVALS_MILLIS = 2_000
    }
}
