package oriolespindle.router.relay

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.id.EndpointId
import oriolespindle.core.relay.SharedRefusal
import oriolespindle.router.http.Address
import oriolespindle.router.logging.EventLog
import java.net.InetSocketAddress

/**
 * Exchanges [SharedRefusal]s with the other instances of the zone in datagrams.
 *
 * They are hints: a lost one costs a refused attempt, and one that cannot be decoded is logged and ignored. Confined to
 * the event loop.
 */
internal class RefusalChannel(
    private val group: EventLoopGroup,
    private val onReceived: (SharedRefusal) -> Unit,
) {
    @Serializable
    private class Message(
        val endpoint: String,
        val startedAt: Long,
    )

    private var channel: Channel? = null

    /** The addresses of the other instances. */
    var peers: List<Address> = emptyList()

    /**
     * Starts to receive datagrams at [address]; must not be called on the event loop.
     *
     * Returns the address in use, with the port that the system chose for port 0.
     */
    fun bind(address: Address): Address {
        val bound =
            Bootstrap()
                .group(group)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(address.toSocketAddress())
                .sync()
                .channel()
        channel = bound
        return Address(address.host, (bound.localAddress() as InetSocketAddress).port)
    }

    /** Sends [refusal] once to each peer. */
    fun send(refusal: SharedRefusal) {
        val sender = channel ?: return
        val text = Json.encodeToString(Message.serializer(), Message(refusal.endpoint.value, refusal.startedAt))
        val bytes = text.toByteArray()
        peers.forEach { sender.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it.toSocketAddress())) }
        sender.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            try {
                val text = packet.content().toString(Charsets.UTF_8)
                val message = Json.decodeFromString(Message.serializer(), text)
                onReceived(SharedRefusal(EndpointId(message.endpoint), message.startedAt))
            } catch (e: SerializationException) {
                EventLog.warn("cannot decode a shared refusal", "from" to packet.sender(), "cause" to e.message)
            } catch (e: IllegalArgumentException) {
                EventLog.warn("cannot use a shared refusal", "from" to packet.sender(), "cause" to e.message)
            }
        }

        @Deprecated("Netty marks exceptionCaught as deprecated for outbound handlers only")
        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            EventLog.warn("datagram channel failed", "cause" to cause)
        }
    }
}
