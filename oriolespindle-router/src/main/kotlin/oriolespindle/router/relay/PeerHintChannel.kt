package oriolespindle.router.relay

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.crash.CrashNews
import oriolespindle.core.crash.EndpointProcess
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.load.LoadReport
import oriolespindle.core.load.ZoneLoadReport
import oriolespindle.core.relay.SharedRefusal
import oriolespindle.router.http.Address
import oriolespindle.router.logging.EventLog
import java.net.InetSocketAddress

/** What an instance tells the others of its zone. */
internal sealed interface PeerHint {
    /** An endpoint refuses its part of a path. */
    data class Refusal(
        val refusal: SharedRefusal,
    ) : PeerHint

    /** What an instance has observed about ends of endpoints. */
    data class Crashes(
        val news: CrashNews,
    ) : PeerHint

    /** [instance] stops. */
    data class Stopping(
        val instance: InstanceId,
    ) : PeerHint

    /** The load that an instance of the zone causes. */
    data class Load(
        val report: LoadReport,
    ) : PeerHint

    /** The load that the instances of another zone cause. */
    data class ZoneLoad(
        val report: ZoneLoadReport,
    ) : PeerHint

    /** [from] has found that the process of an endpoint has ended; a receiver probes for itself before it acts. */
    data class Ended(
        val process: EndpointProcess,
        val from: InstanceId,
    ) : PeerHint
}

/**
 * Exchanges [PeerHint]s with the other instances of the zone in datagrams.
 *
 * They are sent once and may be lost. One that cannot be decoded is logged and ignored. Confined to the event loop.
 */
internal class PeerHintChannel(
    private val group: EventLoopGroup,
    private val onReceived: (PeerHint) -> Unit,
) {
    /**
     * Has either an endpoint with the start of its process, a stopping instance, news about ends of endpoints, a load,
     * or an ended endpoint with the start of its process and the instance that found it.
     */
    @Serializable
    private class Message(
        val endpoint: String? = null,
        val startedAt: Long? = null,
        val stopping: String? = null,
        val crashes: CrashNews? = null,
        val load: LoadReport? = null,
        val zoneLoad: ZoneLoadReport? = null,
        val ended: String? = null,
        val from: String? = null,
    )

    private val format = Json { ignoreUnknownKeys = true }
    private var channel: Channel? = null

    /** The addresses of the other instances of the zone. */
    var peers: List<Address> = emptyList()

    /** The addresses of the other instances of all zones. */
    var allPeers: List<Address> = emptyList()

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
                .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(Receiver())
                .bind(address.toSocketAddress())
                .sync()
                .channel()
        channel = bound
        return Address(address.host, (bound.localAddress() as InetSocketAddress).port)
    }

    /**
     * Sends [hint] once to each instance that it concerns: those of the zone, all for ends of endpoints, and those of
     * the other zones for the load of this one.
     */
    fun send(hint: PeerHint) {
        val sender = channel ?: return
        val receivers =
            when (hint) {
                is PeerHint.Crashes -> allPeers
                is PeerHint.ZoneLoad -> allPeers - peers.toSet()
                else -> peers
            }
        if (receivers.isEmpty()) return
        val text = format.encodeToString(Message.serializer(), encode(hint))
        val bytes = text.toByteArray()
        if (bytes.size > MAX_DATAGRAM_BYTES) {
            EventLog.warn("hint for other instances is too large for a datagram", "bytes" to bytes.size)
            return
        }
        receivers.forEach { sender.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it.toSocketAddress())) }
        sender.flush()
    }

    private fun encode(hint: PeerHint): Message =
        when (hint) {
            is PeerHint.Refusal -> Message(hint.refusal.endpoint.value, hint.refusal.startedAt)
            is PeerHint.Crashes -> Message(crashes = hint.news)
            is PeerHint.Stopping -> Message(stopping = hint.instance.value)
            is PeerHint.Load -> Message(load = hint.report)
            is PeerHint.ZoneLoad -> Message(zoneLoad = hint.report)
            is PeerHint.Ended -> encodeEnded(hint)
        }

    private fun encodeEnded(hint: PeerHint.Ended): Message =
        Message(
            startedAt = hint.process.startedAt,
            ended = hint.process.endpoint.value,
            from = hint.from.value,
        )

    private fun decode(message: Message): PeerHint {
        message.stopping?.let { return PeerHint.Stopping(InstanceId(it)) }
        message.crashes?.let { return PeerHint.Crashes(it) }
        message.load?.let { return PeerHint.Load(it) }
        message.zoneLoad?.let { return PeerHint.ZoneLoad(it) }
        message.ended?.let {
            return PeerHint.Ended(
                EndpointProcess(EndpointId(it), startOf(message)),
                finderOf(message),
            )
        }
        val endpoint = requireNotNull(message.endpoint) { "neither an endpoint, a stopping instance, news nor a load" }
        return PeerHint.Refusal(SharedRefusal(EndpointId(endpoint), startOf(message)))
    }

    private fun startOf(message: Message): Long =
        requireNotNull(message.startedAt) { "no start of the endpoint's process" }

    private fun finderOf(message: Message): InstanceId =
        InstanceId(requireNotNull(message.from) { "no instance that found the end of the endpoint" })

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            try {
                val text = packet.content().toString(Charsets.UTF_8)
                onReceived(decode(format.decodeFromString(Message.serializer(), text)))
            } catch (e: SerializationException) {
                EventLog.warn(
                    "cannot decode a hint of another instance",
                    "from" to packet.sender(),
                    "cause" to e.message,
                )
            } catch (e: IllegalArgumentException) {
                EventLog.warn("cannot use a hint of another instance", "from" to packet.sender(), "cause" to e.message)
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

    private companion object {
        /** The largest payload of a datagram; Netty reads 2,048 bytes by default and drops the rest of the message. */
        const val MAX_DATAGRAM_BYTES = 65_507
    }
}
