package oriolespindle.testkit.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.GlobalEventExecutor
import oriolespindle.testkit.Handle
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** The largest body that a fake reads: a platform value of 1 MiB and its envelope. */
private const val MAX_BODY_BYTES = 2 * 1024 * 1024

/**
 * An HTTP/1.1 server that hands each whole request to [handler] on the event loop of its connection.
 *
 * Requests of one connection are expected one after the other; pipelining is not supported.
 */
internal class HttpServer(
    private val handler: (HttpExchange) -> Unit,
) : Handle {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private lateinit var bound: InetSocketAddress
    private var listener: Channel? = null
    private var acceptLoop: EventLoopGroup? = null

    @Volatile
    private var refusing = false

    override val address: String get() = bound.hostAndPort()

    private val accepted = AtomicLong()

    /** The number that the next connection gets; connections are numbered from 0 in the order of their arrival. */
    val nextConnection: Long get() = accepted.get()

    /** Binds `127.0.0.1:port`, or [host] when it is given; port 0 takes a free one. */
    @Synchronized
    fun start(
        port: Int = 0,
        host: String = "127.0.0.1",
    ): HttpServer {
        bind(InetSocketAddress(host, port))
        return this
    }

    /** Closes the listener and every connection, so that new ones are refused until [listen]. */
    @Synchronized
    fun refuse() {
        refusing = true
        closeListener()
        acceptLoop?.terminationFuture()?.syncUninterruptibly()
        closeConnections()
    }

    /** Listens again on the address of the first start; does nothing when it already listens. */
    @Synchronized
    fun listen() {
        if (listener == null) bind(bound)
    }

    /** Closes every open connection. */
    fun closeConnections() {
        connections.close().awaitUninterruptibly()
    }

    override fun close() {
        refuse()
    }

    /** Closes the listener and resets every connection without waiting; may be called on an event loop. */
    fun reset() {
        refusing = true
        closeListener()
        connections.forEach { it.reset() }
    }

    private fun closeListener() {
        listener?.close()
        listener = null
        acceptLoop?.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun bind(to: InetSocketAddress) {
        // A closed listener keeps its port until its event loop has ended or selects again.
        acceptLoop?.terminationFuture()?.syncUninterruptibly()
        val loop = MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("accept", true), NioIoHandler.newFactory())
        acceptLoop = loop
        refusing = false
        val binding =
            ServerBootstrap()
                .group(loop, sharedLoops)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(Connection())
                .bind(to)
                .awaitUninterruptibly()
        if (!binding.isSuccess) closeListener()
        val channel = binding.syncUninterruptibly().channel()
        bound = channel.localAddress() as InetSocketAddress
        listener = channel
    }

    private inner class Connection : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            connections.add(channel)
            // A connection that was accepted just before the listener closed can get here after all others were closed.
            if (refusing) return channel.reset()
            channel.pipeline().addLast(
                HttpServerCodec(),
                HttpObjectAggregator(MAX_BODY_BYTES),
                Requests(accepted.getAndIncrement()),
            )
        }
    }

    private inner class Requests(
        private val number: Long,
    ) : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            request: FullHttpRequest,
        ) {
            val exchange = HttpExchange(context.channel(), number, request)
            try {
                handler(exchange)
            } catch (e: IllegalArgumentException) {
                exchange.reply(400, ErrorBody("bad_request", e.message ?: ""))
            }
        }

        @Deprecated("Deprecated in Netty, still called for inbound failures")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            context.close()
        }
    }
}
