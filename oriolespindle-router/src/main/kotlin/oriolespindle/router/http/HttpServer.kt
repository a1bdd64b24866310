package oriolespindle.router.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.flush.FlushConsolidationHandler
import io.netty.handler.ssl.SslContext
import io.netty.util.concurrent.GlobalEventExecutor
import oriolespindle.core.contract.ContractCodec
import oriolespindle.core.relay.ByteQuota
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits of one listener, which protect the process before a request is attributed to a team. */
internal data class HttpServerSettings(
    val maxBodyBytes: Int = ContractCodec.MAX_BODY_BYTES,
    val maxHeaderBytes: Int = 16_384,
    val maxConnections: Int = 4_096,
    val requestTimeout: Duration = 10.seconds,
    val idleTimeout: Duration = 75.seconds,
    /** Whether the limits on requests are those of a configuration, so that a request above them is never served. */
    val areLimitsFinal: Boolean = true,
)

/** An HTTP/1.1 listener that passes each complete request to [handler] on an event loop thread. */
internal class HttpServer(
    private val group: EventLoopGroup,
    @Volatile var settings: HttpServerSettings = HttpServerSettings(),
    private val tls: SslContext? = null,
    private val observer: ConnectionObserver = ConnectionObserver.None,
    /** The memory for the bodies and many fields of all requests that are received or in progress. */
    private val bodies: ByteQuota = ByteQuota(MAX_BUFFERED_BYTES),
    private val handler: (ServerExchange) -> Unit,
) {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var listener: ListenerChannel? = null

    private val lastConnectionNumber = AtomicLong()

    /** Whether responses ask callers to close their connections. */
    @Volatile
    var closing: Boolean = false

    val connectionCount: Int get() = connections.size

    /** Binds to [address] and returns the address in use, with the port that the system chose for port 0. */
    fun bind(address: Address): Address {
        val channel =
            ServerBootstrap()
                .group(group)
                .channel(ListenerChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readSizes())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_MARK, HIGH_MARK))
                .childHandler(Initializer())
                .bind(address.toSocketAddress())
                .sync()
                .channel() as ListenerChannel
        listener = channel
        val bound = channel.localAddress() as InetSocketAddress
        return Address(address.host, bound.port)
    }

    /** Closes the connections that have had no request in progress for [idleFor]. */
    fun closeIdleConnections(idleFor: Duration) {
        connections.forEach { it.pipeline().fireUserEventTriggered(CloseWhenIdle(idleFor)) }
    }

    /** Closes all connections, also those with requests in progress. */
    fun closeConnections() {
        connections.close()
    }

    /**
     * Stops accepting connections, after those that are already established have been accepted.
     *
     * Closing the listener at once would reset them, although their callers may have sent a request.
     */
    fun stopAccepting() {
        val channel = listener ?: return
        val loop = channel.eventLoop()
        val closed = loop.schedule({ close(channel) }, ACCEPT_DRAIN_MILLIS, TimeUnit.MILLISECONDS)
        if (!loop.inEventLoop()) closed.syncUninterruptibly()
    }

    private fun close(channel: ListenerChannel) {
        // The event loop may have been busy since it last accepted connections.
        channel.acceptEstablished()
        channel.close()
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            if (connections.size >= settings.maxConnections) {
                channel.close()
                return
            }
            connections.add(channel)
            val headLimit = HeadLimit(bodies) { settings.maxHeaderBytes }
            val headLimitHandler = HeadLimitHandler(headLimit)
            val config =
                HttpDecoderConfig()
                    .setMaxHeaderSize(Int.MAX_VALUE)
                    .setMaxInitialLineLength(Int.MAX_VALUE)
                    .setHeadersFactory(headLimit)
                    .setTrailersFactory(BoundedHeadersFactory())
            tls?.let { channel.pipeline().addLast(it.newHandler(channel.alloc())) }
            channel.pipeline().addLast(
                // A server may send an answer in many tiny parts; those of one iteration of the loop share a flush.
                FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true),
                newTimeoutHandler(),
                headLimitHandler,
                HttpServerCodec(config),
                RequestAssembler(bodies, headLimit, headLimitHandler) { settings },
                ServerExchangeHandler({ closing }, handler),
            )
        }
    }

    private fun newTimeoutHandler(): RequestTimeoutHandler =
        RequestTimeoutHandler(
            settings = { settings },
            observer = observer,
            connectionNumber = lastConnectionNumber.incrementAndGet(),
        )

    private companion object {
        const val BACKLOG = 1024

        /** Several iterations of an idle event loop, each of which accepts the connections that are waiting. */
        const val ACCEPT_DRAIN_MILLIS = 20L
        const val MAX_BUFFERED_BYTES = 16 * 1024 * 1024
        const val LOW_MARK = 16 * 1024
        const val HIGH_MARK = 64 * 1024
        const val MAX_CONSOLIDATED_FLUSHES = 256
    }
}
