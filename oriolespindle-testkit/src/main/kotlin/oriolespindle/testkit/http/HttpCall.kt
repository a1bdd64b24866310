package oriolespindle.testkit.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream

private const val CONNECT_TIMEOUT_MILLIS = 2000

/** What one call receives, on its event loop; [ended] or [lost] is the last notification and comes once. */
internal interface HttpListener {
    fun head(
        status: Int,
        headers: Map<String, String>,
    )

    fun line(text: String)

    fun ended()

    /** The connection could not be made or broke before the end of the answer. */
    fun lost(cause: String)
}

/** A request to make; [headers] are added to the ones that HTTP needs. */
internal data class HttpRequestSpec(
    val address: String,
    val method: String,
    val path: String,
    val body: String = "",
    val headers: Map<String, String> = emptyMap(),
)

/** One call on a connection of its own. */
internal class HttpCall private constructor(
    private val listener: HttpListener,
) {
    @Volatile
    private var finished = false
    private var channel: Channel? = null
    private var cancelled = false

    /** Closes the connection; the listener is not notified any more. */
    @Synchronized
    fun cancel() {
        cancelled = true
        finished = true
        channel?.close()
    }

    /** Stops or resumes reading, for backpressure. */
    fun reading(enabled: Boolean) {
        channel?.config()?.isAutoRead = enabled
    }

    @Synchronized
    private fun connected(to: Channel) {
        channel = to
        if (cancelled) to.close()
    }

    private fun finish(notify: () -> Unit) {
        if (finished) return
        finished = true
        notify()
    }

    private inner class Answer : SimpleChannelInboundHandler<HttpObject>() {
        private val partial = ByteArrayOutputStream()

        override fun channelRead0(
            context: ChannelHandlerContext,
            message: HttpObject,
        ) {
            if (finished) return
            if (message is HttpResponse) {
                listener.head(message.status().code(), message.headers().associate { it.key.lowercase() to it.value })
            }
            if (message is HttpContent) content(message)
            if (message is LastHttpContent) {
                if (partial.size() > 0) emit()
                finish { listener.ended() }
                context.close()
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            finish { listener.lost("connection closed") }
        }

        @Deprecated("Deprecated in Netty, still called for inbound failures")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            finish { listener.lost(cause.toString()) }
            context.close()
        }

        private fun content(message: HttpContent) {
            val bytes = message.content()
            while (bytes.isReadable) {
                val byte = bytes.readByte()
                if (byte == '\n'.code.toByte()) emit() else partial.write(byte.toInt())
            }
        }

        private fun emit() {
            val text = partial.toString(Charsets.UTF_8)
            partial.reset()
            if (!finished) listener.line(text)
        }
    }

    companion object {
        /** Starts a call; [loop] selects the event loop that notifies [listener]. */
        fun start(
            request: HttpRequestSpec,
            listener: HttpListener,
            loop: EventLoopGroup = sharedLoops,
        ): HttpCall {
            val call = HttpCall(listener)
            val connect =
                Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel::class.java)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(
                        object : ChannelInitializer<Channel>() {
                            override fun initChannel(channel: Channel) {
                                channel.pipeline().addLast(HttpClientCodec(), call.Answer())
                            }
                        },
                    ).connect(socketAddress(request.address))
            call.connected(connect.channel())
            connect.addListener { result ->
                if (result.isSuccess) {
                    connect.channel().writeAndFlush(request.encode())
                } else {
                    call.finish { listener.lost("connection failed: ${result.cause()}") }
                }
            }
            return call
        }
    }
}

private fun HttpRequestSpec.encode(): DefaultFullHttpRequest {
    val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, content)
    request.headers().set(HttpHeaderNames.HOST, address)
    request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
    headers.forEach { (name, value) -> request.headers().set(name, value) }
    HttpUtil.setContentLength(request, content.readableBytes().toLong())
    HttpUtil.setKeepAlive(request, false)
    return request
}
