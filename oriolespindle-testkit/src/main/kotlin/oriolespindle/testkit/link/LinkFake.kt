package oriolespindle.testkit.link

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.serialization.Serializable
import oriolespindle.testkit.Handle
import oriolespindle.testkit.http.ErrorBody
import oriolespindle.testkit.http.HttpExchange
import oriolespindle.testkit.http.HttpServer
import oriolespindle.testkit.http.hostAndPort
import oriolespindle.testkit.http.sharedLoops
import oriolespindle.testkit.http.socketAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/**
 * A TCP relay from [address] to [target] that can be cut, silenced and slowed.
 *
 * Faults are also taken as `POST /_control` at [controlAddress].
 */
public class LinkFake private constructor(
    public val target: String,
    port: Int,
    controlPort: Int,
) : Handle {
    private val pairs = ConcurrentHashMap.newKeySet<RelayPair>()
    private val control = HttpServer(::handleControl)
    private val listener: Channel

    @Volatile
    private var state = LinkState()

    init {
        listener =
            ServerBootstrap()
                .group(sharedLoops)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(accept())
                .bind("127.0.0.1", port)
                .syncUninterruptibly()
                .channel()
        control.start(controlPort)
    }

    override val address: String get() = (listener.localAddress() as InetSocketAddress).hostAndPort()

    /** Where `/_control` is answered, as `HOST:PORT`. */
    public val controlAddress: String get() = control.address

    /** The number of connections that the link holds open. */
    public val openConnections: Int get() = pairs.size

    /** Adds a fault to the ones in force; [LinkFault.Healthy] ends them for new connections. */
    public fun inject(fault: LinkFault) {
        when (fault) {
            LinkFault.Healthy -> {
                state = LinkState()
            }

            LinkFault.Cut -> {
                state = state.copy(cut = true)
                pairs.forEach { it.reset() }
            }

            LinkFault.ResetOpen -> {
                pairs.forEach { it.reset() }
            }

            is LinkFault.Silence -> {
                state = state.copy(silenceNew = !fault.openOnly)
                pairs.forEach { it.silence() }
            }

            is LinkFault.OneWay -> {
                state = state.copy(oneWayNew = fault)
                pairs.forEach { it.silence(fault.toTarget) }
            }

            is LinkFault.Slow -> {
                state = state.copy(slowMillis = fault.millis)
            }
        }
    }

    override fun close() {
        listener.close().syncUninterruptibly()
        pairs.forEach { it.reset() }
        control.close()
    }

    private fun accept(): ChannelHandler =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                val now = state
                val pair = RelayPair(channel, socketAddress(target), { state.slowMillis }, pairs::remove)
                if (now.cut) return pair.reset()
                pairs += pair
                if (now.silenceNew) pair.silence()
                now.oneWayNew?.let { pair.silence(it.toTarget) }
                pair.connect()
            }
        }

    private fun handleControl(exchange: HttpExchange) {
        when (exchange.method + " " + exchange.uriPath) {
            "POST /_control" -> exchange.reply(200, exchange.read<LinkFault>().also(::inject))
            "GET /_control/connections" -> exchange.reply(200, LinkConnections(openConnections))
            else -> exchange.reply(404, ErrorBody("no_path", exchange.uriPath))
        }
    }

    public companion object {
        /** Starts a relay on loopback to [target] (`HOST:PORT`); port 0 takes a free one. */
        public fun start(
            target: String,
            port: Int = 0,
            controlPort: Int = 0,
        ): LinkFake = LinkFake(target, port, controlPort)
    }
}

@Serializable
private data class LinkConnections(
    val open: Int,
)

private data class LinkState(
    val cut: Boolean = false,
    val silenceNew: Boolean = false,
    val oneWayNew: LinkFault.OneWay? = null,
    val slowMillis: Long = 0,
)
