package oriolespindle.router.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import oriolespindle.router.logging.EventLog
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** A complete response. */
internal class HttpAnswer(
    val status: Int,
    val body: ByteArray = ByteArray(0),
    val contentType: String = "application/json",
    val headers: List<Pair<String, String>> = emptyList(),
) {
    internal fun toResponse(): FullHttpResponse {
        val status = HttpResponseStatus.valueOf(status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
        HttpUtil.setContentLength(response, body.size.toLong())
        if (body.isNotEmpty()) response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        headers.forEach { (name, value) -> response.headers().add(name, value) }
        return response
    }

    companion object {
        fun json(
            status: Int,
            text: String,
            headers: List<Pair<String, String>> = emptyList(),
        ): HttpAnswer = HttpAnswer(status, text.toByteArray(), headers = headers)
    }
}

/** A request and the functions that respond to it, which may be called from any thread. */
internal class ServerExchange(
    private val ctx: ChannelHandlerContext,
    private val request: AssembledRequest,
    private val connection: RequestTimeoutHandler,
    private val isClosing: () -> Boolean,
    private val onEnd: () -> Unit,
) {
    private val head = request.head

    /** Whether the caller understands chunks; the body for an HTTP/1.0 caller ends with the connection instead. */
    private val isChunked = head.protocolVersion().isKeepAliveDefault
    private val keepAlive = isChunked && HttpUtil.isKeepAlive(head)
    private val ended = AtomicBoolean(false)

    @Volatile
    private var hasBegun = false

    /** Whether the connection closes after the response, as its head announces. */
    @Volatile
    private var closes = false
    private val answeredAction = AtomicReference<(() -> Unit)?>()

    val method: String = head.method().name()
    val uri: String = head.uri()
    val path: String = uri.substringBefore('?')
    val query: String = uri.substringAfter('?', missingDelimiterValue = "")
    val body: ByteArray = request.body

    /** Called on an event loop thread when the connection closes before the response is complete. */
    @Volatile
    var onClosed: () -> Unit = {}

    /** Called on an event loop thread with false when the connection's write buffer fills, and true when it drains. */
    @Volatile
    var onWritable: (Boolean) -> Unit = {}

    /** Whether the response is complete or its connection closed. */
    val isEnded: Boolean get() = ended.get()

    val isWritable: Boolean get() = ctx.channel().isWritable

    /** How long the connection has been open. */
    val connectionAge: Duration get() = connection.connectionAge

    /** The number of requests on the connection up to this one. */
    val requestNumber: Int get() = connection.requestCount

    /** Calls [action] once, when the response is complete or its connection closed. */
    fun whenAnswered(action: () -> Unit) {
        answeredAction.set(action)
        // The connection may already be closed; the thread that takes the action out of the reference calls it.
        if (ended.get()) answeredAction.getAndSet(null)?.invoke()
    }

    fun header(name: String): String? = head.headers().get(name)

    /** All headers of the request. */
    val requestHeaders: HttpHeaders get() = head.headers()

    fun headerNames(): Set<String> = head.headers().names()

    fun headers(name: String): List<String> = head.headers().getAll(name)

    /** Sends a complete response; later calls are ignored, and one after a response has begun aborts it. */
    fun respond(answer: HttpAnswer) {
        val response = answer.toResponse()
        if (endUnanswered(answer.status)) finish(response)
    }

    /** Sends a complete response like [respond], with the headers of another server's response. */
    fun relay(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    ) {
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body),
            )
        response.headers().set(headers)
        HttpUtil.setContentLength(response, body.size.toLong())
        if (endUnanswered(status)) finish(response)
    }

    /** Starts a response with the headers of another server's response; its body is sent in parts. */
    fun beginRelay(
        status: Int,
        headers: HttpHeaders,
    ) {
        hasBegun = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().set(headers)
        if (isChunked) HttpUtil.setTransferEncodingChunked(response, true)
        setConnectionHeader(response)
        ctx.write(response)
    }

    /** Starts a response whose body is sent in parts. */
    fun beginStream(
        status: Int,
        contentType: String,
        headers: List<Pair<String, String>> = emptyList(),
    ) {
        hasBegun = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        if (isChunked) HttpUtil.setTransferEncodingChunked(response, true)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        headers.forEach { (name, value) -> response.headers().add(name, value) }
        setConnectionHeader(response)
        ctx.writeAndFlush(response)
    }

    fun writeChunk(bytes: ByteArray) {
        if (!ended.get()) ctx.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    fun endStream() {
        if (end()) finish(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Ends the connection so that the caller can tell that the response is incomplete. */
    fun abort() {
        if (!end()) return
        // A body without chunks looks complete when its connection is closed, but not when it is reset.
        if (!isChunked) ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0)
        ctx.close()
    }

    /** Ends the exchange for a complete response of [status]; aborts it if another response has begun. */
    private fun endUnanswered(status: Int): Boolean {
        if (!hasBegun || ended.get()) return end()
        EventLog.warn("response aborted: another one has begun", "path" to path, "status" to status)
        abort()
        return false
    }

    internal fun onConnectionClosed() {
        if (end()) onClosed()
    }

    private fun end(): Boolean {
        val first = ended.compareAndSet(false, true)
        if (first) {
            request.release()
            answeredAction.getAndSet(null)?.invoke()
        }
        return first
    }

    private fun finish(last: Any) {
        if (last is HttpResponse) setConnectionHeader(last)
        val future = ctx.writeAndFlush(last)
        if (closes) {
            future.addListener(ChannelFutureListener.CLOSE)
        } else {
            future.addListener { if (it.isSuccess) ctx.executor().execute(onEnd) else onWriteFailed(it.cause()) }
        }
    }

    /** Closes the connection, since the caller of a response that was not written would wait in vain. */
    private fun onWriteFailed(cause: Throwable) {
        if (cause !is IOException) EventLog.warn("response not written", "path" to path, "cause" to cause)
        ctx.close()
    }

    /** Decides once whether the connection closes, since a caller may send its next request after any other head. */
    private fun setConnectionHeader(response: HttpResponse) {
        closes = !keepAlive || isClosing()
        if (closes) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }
}

/**
 * Handles the requests of one connection one at a time, in order.
 *
 * While a few requests wait for the answer to an earlier one, no more are read. An answer does not close the
 * connection while requests wait behind it.
 */
internal class ServerExchangeHandler(
    private val isClosing: () -> Boolean,
    private val handler: (ServerExchange) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var current: ServerExchange? = null
    private val waiting = ArrayDeque<ReceivedRequest>()

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        val request = message as ReceivedRequest
        timeouts(ctx).onRequestComplete()
        if (current == null) {
            begin(ctx, request)
        } else {
            waiting += request
            // A read may have returned more requests, so their number is bounded by the size of one read.
            if (waiting.size >= MAX_WAITING) ctx.channel().config().isAutoRead = false
        }
    }

    private fun begin(
        ctx: ChannelHandlerContext,
        request: ReceivedRequest,
    ) {
        timeouts(ctx).onRequestReceived()
        when (request) {
            is AssembledRequest -> handle(ctx, request)
            is RejectedRequest -> reject(ctx, request.answer)
        }
    }

    private fun reject(
        ctx: ChannelHandlerContext,
        answer: HttpAnswer,
    ) {
        val response = answer.toResponse()
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun handle(
        ctx: ChannelHandlerContext,
        request: AssembledRequest,
    ) {
        val connection = timeouts(ctx)
        val closesAfter = { isClosing() && waiting.isEmpty() }
        val exchange = ServerExchange(ctx, request, connection, closesAfter) { onExchangeEnded(ctx) }
        current = exchange
        try {
            handler(exchange)
        } catch (e: Exception) {
            onHandlerFailed(exchange, e)
        } catch (e: StackOverflowError) {
            onHandlerFailed(exchange, e)
        }
    }

    /** Ends an exchange that its handler may have left without an end; the request may have run. */
    private fun onHandlerFailed(
        exchange: ServerExchange,
        cause: Throwable,
    ) {
        logFailure(cause)
        exchange.respond(HttpAnswer.json(BAD_GATEWAY, UNEXPECTED_ERROR))
    }

    private fun logFailure(cause: Throwable) =
        EventLog.warn("request failed", "cause" to cause, "at" to cause.stackTrace.firstOrNull())

    private fun timeouts(ctx: ChannelHandlerContext) = ctx.pipeline().get(RequestTimeoutHandler::class.java)

    private fun onExchangeEnded(ctx: ChannelHandlerContext) {
        current = null
        val request = waiting.removeFirstOrNull()
        if (request != null) {
            if (waiting.size < MAX_WAITING) ctx.channel().config().isAutoRead = true
            begin(ctx, request)
        } else {
            startIdleTimeout(ctx)
        }
    }

    private fun startIdleTimeout(ctx: ChannelHandlerContext) {
        val pipeline = ctx.pipeline()
        pipeline.context(RequestTimeoutHandler::class.java)?.let { timeoutContext ->
            pipeline.get(RequestTimeoutHandler::class.java).onConnectionIdle(timeoutContext)
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        current?.onWritable?.invoke(ctx.channel().isWritable)
        ctx.fireChannelWritabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        waiting.forEach { (it as? AssembledRequest)?.release() }
        waiting.clear()
        current?.onConnectionClosed()
        current = null
        ctx.fireChannelInactive()
    }

    @Deprecated("Netty marks exceptionCaught as deprecated for outbound handlers only")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        // A reset of the caller's connection is no fault; its request logs its own end.
        if (cause !is IOException) logFailure(cause)
        ctx.close()
    }

    private companion object {
        const val MAX_WAITING = 2
        const val BAD_GATEWAY = 502
        const val UNEXPECTED_ERROR = """{"error":{"outcome":"unknown","reason":"unexpected_error"}}"""
    }
}
