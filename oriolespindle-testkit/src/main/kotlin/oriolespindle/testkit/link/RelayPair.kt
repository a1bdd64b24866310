package oriolespindle.testkit.link

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.ReferenceCountUtil
import oriolespindle.testkit.http.OrderedDelay
import oriolespindle.testkit.http.reset
import java.net.InetSocketAddress

/** One accepted connection and the one to the target; both use the same event loop. */
internal class RelayPair(
    private val accepted: Channel,
    private val target: InetSocketAddress,
    private val slowMillis: () -> Long,
    private val closed: (RelayPair) -> Unit,
) {
    @Volatile
    private var silentToTarget = false

    @Volatile
    private var silentFromTarget = false

    @Volatile
    private var outgoing: Channel? = null

    fun connect() {
        accepted.closeFuture().addListener { ended(outgoing, silentToTarget) }
        val connect =
            Bootstrap()
                .group(accepted.eventLoop())
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(ChannelInboundHandlerAdapter())
                .connect(target)
        connect.addListener {
            if (!it.isSuccess || !accepted.isActive) {
                connect.channel().close()
                reset()
                return@addListener
            }
            joined(connect.channel())
        }
    }

    /** From now on, bytes are swallowed in both directions, and neither side sees the other close. */
    fun silence() {
        silence(toTarget = true)
        silence(toTarget = false)
    }

    /** From now on, bytes in one direction are swallowed, and that side does not see the other close. */
    fun silence(toTarget: Boolean) {
        if (toTarget) silentToTarget = true else silentFromTarget = true
    }

    /** Resets both connections. */
    fun reset() {
        accepted.reset()
        outgoing?.reset()
        closed(this)
    }

    private fun joined(to: Channel) {
        outgoing = to
        to.closeFuture().addListener { ended(accepted, silentFromTarget) }
        accepted.pipeline().addLast(Forward(to) { silentToTarget })
        to.pipeline().addLast(Forward(accepted) { silentFromTarget })
        accepted.config().isAutoRead = true
        to.config().isAutoRead = true
    }

    private fun ended(
        other: Channel?,
        silent: Boolean,
    ) {
        if (silent && other?.isActive == true) return
        OrderedDelay(accepted.eventLoop()).run(slowMillis()) { other?.close() }
        closed(this)
    }

    private inner class Forward(
        private val to: Channel,
        private val silent: () -> Boolean,
    ) : ChannelInboundHandlerAdapter() {
        private val delay = OrderedDelay(to.eventLoop())

        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (silent()) {
                ReferenceCountUtil.release(message)
                return
            }
            val bytes = message as ByteBuf
            val millis = slowMillis()
            if (millis == 0L) to.writeAndFlush(bytes) else delay.run(millis) { to.writeAndFlush(bytes) }
        }

        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            to.config().isAutoRead = context.channel().isWritable
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
