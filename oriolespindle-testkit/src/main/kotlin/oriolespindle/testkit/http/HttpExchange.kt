package oriolespindle.testkit.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.Serializable
import java.util.concurrent.TimeUnit

/** The body of an answer that no protocol page defines. */
@Serializable
internal data class ErrorBody(
    val error: String,
    val message: String = "",
)

/** One request and the means to answer it; every method may be called from any thread. */
internal class HttpExchange(
    private val channel: Channel,
    val connection: Long,
    request: FullHttpRequest,
) {
    private val uri = QueryStringDecoder(request.uri())
    private val headers = request.headers().copy()
    private val keepAlive = HttpUtil.isKeepAlive(request)

    val method: String = request.method().name()
    val uriPath: String = uri.path()

    /** The parts of the path, decoded, without empty ones. */
    val path: List<String> = uri.path().split('/').filter { it.isNotEmpty() }
    val body: String = request.content().toString(Charsets.UTF_8)
    val loop: EventLoop get() = channel.eventLoop()

    fun header(name: String): String? = headers.get(name)

    fun query(name: String): String? = uri.parameters()[name]?.firstOrNull()

    /** Parses the body; a malformed one is answered with 400 by the server. */
    inline fun <reified T> read(): T = wireJson.decodeFromString<T>(body)

    inline fun <reified T> reply(
        status: Int,
        body: T,
        headers: Map<String, String> = emptyMap(),
    ): Unit = replyText(status, wireJson.encodeToString(body), headers)

    fun replyText(
        status: Int,
        text: String,
        headers: Map<String, String> = emptyMap(),
    ) {
        val content = Unpooled.copiedBuffer(text, Charsets.UTF_8)
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        headers.forEach { (name, value) -> response.headers().set(name, value) }
        HttpUtil.setContentLength(response, content.readableBytes().toLong())
        HttpUtil.setKeepAlive(response, keepAlive)
        val written = channel.writeAndFlush(response)
        if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
    }

    /** Starts a chunked answer of lines. */
    fun startLines(): LineStream {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
        HttpUtil.setTransferEncodingChunked(response, true)
        HttpUtil.setKeepAlive(response, keepAlive)
        channel.writeAndFlush(response)
        return LineStream(channel, keepAlive)
    }

    /** Closes the connection without an answer. */
    fun drop() {
        channel.close()
    }

    /** Runs [action] when the caller has gone away; the result takes it back, since connections are reused. */
    fun onClose(action: () -> Unit): () -> Unit {
        val listener = ChannelFutureListener { action() }
        channel.closeFuture().addListener(listener)
        return { channel.closeFuture().removeListener(listener) }
    }

    fun after(
        millis: Long,
        action: () -> Unit,
    ) {
        if (millis <= 0) action() else loop.schedule(action, millis, TimeUnit.MILLISECONDS)
    }
}

/** A chunked answer in progress. */
internal class LineStream(
    private val channel: Channel,
    private val keepAlive: Boolean,
) {
    val isOpen: Boolean get() = channel.isActive
    val isWritable: Boolean get() = channel.isWritable

    fun line(text: String) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.copiedBuffer(text + "\n", Charsets.UTF_8)))
    }

    fun end() {
        val written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
    }

    /** Closes the connection without ending the answer. */
    fun drop() {
        channel.close()
    }
}
