package oriolespindle.router.peer

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import oriolespindle.core.fairness.DemandReport
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.limit.ShareMessage
import oriolespindle.core.membership.Gossip
import oriolespindle.core.membership.MemberRecord
import oriolespindle.testkit.fleet.FreePorts
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Guards against messages from outside the fleet and against connections that are not restored. */
@Timeout(60)
class PeerTransportTest {
    private class Node(
        val transport: PeerTransport,
        val id: InstanceId,
        val received: LinkedBlockingQueue<Pair<InstanceId, PeerMessage>>,
        val address: String,
    ) {
        fun next(): Pair<InstanceId, PeerMessage>? = received.poll(20, TimeUnit.SECONDS)
    }

    private val open = ArrayList<PeerTransport>()

    @AfterEach
    fun closeAll() = open.forEach { it.close() }

    private fun start(
        name: String,
        key: Int = 1,
        port: Int = FreePorts.take(),
    ): Node {
        val received = LinkedBlockingQueue<Pair<InstanceId, PeerMessage>>()
        val settings =
            PeerTransportSettings(
                listenHost = "127.0.0.1",
                listenPort = port,
                fleetKey = FleetKey(ByteArray(16) { key.toByte() }),
                initialBackoff = 20.milliseconds,
                maxBackoff = 100.milliseconds,
                handshakeTimeout = 500.milliseconds,
                silenceTimeout = 500.milliseconds,
            )
        val address = "127.0.0.1:$port"
        val identity = PeerIdentity(InstanceId(name), 0, ZoneId("zone-a"), address)
        val transport = PeerTransport(identity, settings, { from, message -> received += from to message })
        transport.start()
        open += transport
        return Node(transport, identity.instance, received, address)
    }

    private fun demand(number: Int) = PeerMessage.Demand(DemandReport(number.toLong(), emptyList()))

    private fun ping(node: Node) = PeerMessage.Ping(Gossip(MemberRecord(node.id, ZoneId("zone-a"), node.address), 1))

    /** Sends until [to] receives something, because messages on a failing connection are lost. */
    private fun sendUntilReceived(
        from: Node,
        to: Node,
    ): Boolean =
        (1..400).any { number ->
            from.transport.send(to.id, demand(number))
            to.received.poll(50, TimeUnit.MILLISECONDS) != null
        }

    @Test
    fun `messages arrive in order and name their sender`() {
        val a = start("a")
        val b = start("b")
        a.transport.connect(b.id, b.address)

        (1..3).forEach { a.transport.send(b.id, demand(it)) }
        expectThat(List(3) { b.next() }).containsExactly((1..3).map { a.id to demand(it) })

        b.transport.send(a.id, demand(4))
        expectThat(a.next()).isEqualTo(b.id to demand(4))
    }

    @Test
    fun `a peer without the fleet key is rejected`() {
        val a = start("a")
        val stranger = start("s", key = 2)
        stranger.transport.connect(a.id, a.address)
        stranger.transport.send(a.id, PeerMessage.Share(ShareMessage.Probe(1)))

        waitUntil {
            a.transport.counters.unauthenticated
                .sum() >= 2
        }

        expectThat(a.received).isEmpty()
        expectThat(a.transport.send(stranger.id, demand(1))).isEqualTo(SendResult.UnknownPeer)
    }

    @Test
    fun `an oversized length before authentication closes the connection`() {
        val a = start("a")
        for (length in listOf(Int.MAX_VALUE, -1, 5_000)) {
            Socket("127.0.0.1", a.address.substringAfter(':').toInt()).use { socket ->
                val input = DataInputStream(socket.getInputStream())
                input.readNBytes(input.readInt())
                DataOutputStream(socket.getOutputStream()).writeInt(length)
                expectThat(input.read()).isEqualTo(-1)
            }
        }
        expectThat(a.received).isEmpty()
    }

    @Test
    fun `a peer that restarts is reached again`() {
        val a = start("a")
        val b = start("b")
        a.transport.connect(b.id, b.address)
        expectThat(sendUntilReceived(a, b)).isTrue()

        b.transport.close()
        val restarted = start("b", port = b.address.substringAfter(':').toInt())

        expectThat(sendUntilReceived(a, restarted)).isTrue()
    }

    // Guards against an instance that cannot listen on the address which it has just released.
    @Test
    fun `close returns after the listen address is released`() {
        repeat(200) { round ->
            val a = start("a$round")
            val b = start("b$round")
            a.transport.connect(b.id, b.address)
            a.transport.send(b.id, demand(round))
            expectThat(b.next()).isNotNull()

            b.transport.close()

            start("b$round", port = b.address.substringAfter(':').toInt())
            closeAll()
            open.clear()
        }
    }

    @Test
    fun `an open connection that drops all bytes is replaced`() {
        val a = start("a")
        val b = start("b")
        BlackholingProxy(b.address.substringAfter(':').toInt()).use { proxy ->
            a.transport.connect(b.id, "127.0.0.1:${proxy.port}")
            expectThat(sendUntilReceived(a, b)).isTrue()
            proxy.blackholeOpenConnections()
            b.received.clear()

            a.transport.send(b.id, ping(a))

            waitUntil {
                a.transport.counters.unresponsive
                    .sum() > 0
            }
            expectThat(sendUntilReceived(a, b)).isTrue()
        }
    }

    @Test
    fun `a peer whose id is learned only from its connection can be sent messages`() {
        val a = start("a")
        val b = start("b")
        a.transport.connectToSeed(b.address)
        waitUntil { a.transport.send(b.id, demand(1)) is SendResult.Queued }

        expectThat(b.next()?.first).isEqualTo(a.id)
    }

    @Test
    fun `simultaneous connections do not make each side close the one that the other keeps`() {
        repeat(10) { round ->
            val a = start("a$round")
            val b = start("b$round")
            a.transport.connect(b.id, b.address)
            b.transport.connect(a.id, a.address)
            a.transport.send(b.id, demand(0))
            b.transport.send(a.id, demand(0))

            expectThat(sendUntilReceived(a, b)).isTrue()
            expectThat(sendUntilReceived(b, a)).isTrue()
        }
    }

    @Test
    fun `the queue to an unreachable peer does not grow without bound`() {
        val a = start("a")
        a.transport.connect(InstanceId("b"), "127.0.0.1:${FreePorts.take()}")

        val results = (1..1_000).map { a.transport.send(InstanceId("b"), demand(it)) }

        expectThat(results.filterIsInstance<SendResult.Queued>().size).isEqualTo(1_000)
        waitUntil {
            a.transport.counters.dropped
                .sum() == 1_000L
        }
        expectThat(results.first()).isA<SendResult.Queued>()
    }

    private fun waitUntil(condition: () -> Boolean) {
        while (!condition()) Thread.sleep(5)
    }
}
