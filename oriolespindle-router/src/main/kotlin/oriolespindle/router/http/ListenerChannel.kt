package oriolespindle.router.http

import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import oriolespindle.router.logging.EventLog
import java.io.IOException

/** A listener that can accept all established connections without waiting for the event loop to report them. */
internal class ListenerChannel : NioServerSocketChannel() {
    /** Accepts the connections that are established; must be called on the event loop. */
    fun acceptEstablished() {
        try {
            generateSequence { javaChannel().accept() }
                .forEach { pipeline().fireChannelRead(NioSocketChannel(this, it)) }
        } catch (cause: IOException) {
            EventLog.warn("connections were not accepted before the listener closed", "cause" to cause)
        }
        pipeline().fireChannelReadComplete()
    }
}
