package oriolespindle.testkit.http

import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.net.InetSocketAddress

private const val EVENT_LOOPS = 4

/** The event loops of every fake in this process; daemon threads, so that they never keep a process alive. */
internal val sharedLoops: EventLoopGroup by lazy {
    MultiThreadIoEventLoopGroup(EVENT_LOOPS, DefaultThreadFactory("testkit", true), NioIoHandler.newFactory())
}

/** Parses `HOST:PORT` with a numeric host. */
internal fun socketAddress(address: String): InetSocketAddress {
    val host = address.substringBeforeLast(':')
    val port = address.substringAfterLast(':').toInt()
    return InetSocketAddress(host, port)
}

internal fun InetSocketAddress.hostAndPort(): String = "${address.hostAddress}:$port"

/** Closes the connection so that the other side sees a reset, not an end; does nothing when it is closed. */
internal fun Channel.reset() {
    try {
        config().setOption(ChannelOption.SO_LINGER, 0)
    } catch (_: ChannelException) {
        // The socket is closed already, for example by the other side.
    }
    close()
}
