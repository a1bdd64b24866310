package oriolespindle.router.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.relay.ByteQuota
import oriolespindle.core.relay.GrowingBuffer
import oriolespindle.router.logging.EventLog

/** A request of a connection, in the order of arrival. */
internal sealed interface ReceivedRequest

/** A request with its complete body. */
internal class AssembledRequest(
    val head: HttpRequest,
    private val buffer: GrowingBuffer,
    private val releaseHead: () -> Unit,
) : ReceivedRequest {
    val body: ByteArray = buffer.trim()

    /** Must be called once the request is no longer in progress. */
    fun release() {
        buffer.clear()
        releaseHead()
    }
}

/** A request that is answered with [answer] in its turn, after which the connection is closed. */
internal class RejectedRequest(
    val answer: HttpAnswer,
) : ReceivedRequest

/**
 * Aggregates each request with its body, which may have as many bytes as [settings] allow.
 *
 * A request that is larger than a limit is refused as not run, to be sent again, while the limits are not final.
 *
 * The bodies of all connections share [quota]; a request for whose body nothing is left is refused as not run.
 *
 * A malformed request, or one whose framing two parties could interpret differently, is rejected and its connection
 * closed, so that no later bytes of that connection are parsed as a request. This prevents request smuggling.
 */
internal class RequestAssembler(
    private val quota: ByteQuota,
    private val headLimit: HeadLimit,
    private val headLimitHandler: HeadLimitHandler,
    private val settings: () -> HttpServerSettings,
) : ChannelInboundHandlerAdapter() {
    private var head: HttpRequest? = null
    private var body = newBody()
    private var rejected = false

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (!rejected && message is HttpObject) accept(ctx, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun accept(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (message.decoderResult().isFailure) {
            rejectUndecoded(ctx, message.decoderResult().cause())
            return
        }
        if (message is HttpRequest) begin(ctx, message)
        if (message is HttpContent && !rejected) append(ctx, message)
        if (message is LastHttpContent && !rejected) complete(ctx)
    }

    private fun rejectUndecoded(
        ctx: ChannelHandlerContext,
        cause: Throwable?,
    ) {
        when (cause) {
            is TooLongHttpHeaderException -> {
                rejectLongHead(ctx)
            }

            is HeadMemoryException -> {
                rejectWithoutMemory(ctx)
            }

            else -> {
                reject(ctx, RefusalReason.MALFORMED_REQUEST, "the request is not valid HTTP/1.1")
            }
        }
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is HeadTooLong) {
            if (!rejected) rejectLongHead(ctx)
        } else {
            ctx.fireUserEventTriggered(event)
        }
    }

    private fun begin(
        ctx: ChannelHandlerContext,
        request: HttpRequest,
    ) {
        headLimitHandler.onHeadComplete()
        val lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
        val encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val ambiguous = lengths.size > 1 || encodings.size > 1 || (lengths.isNotEmpty() && encodings.isNotEmpty())
        val unsupported = encodings.any { !it.equals("chunked", ignoreCase = true) }
        val length = HttpUtil.getContentLength(request, 0L)
        if (!headLimit.allows(request)) {
            rejectLongHead(ctx)
        } else if (ambiguous || unsupported) {
            reject(ctx, RefusalReason.MALFORMED_REQUEST, "the request's framing is ambiguous")
        } else if (length > settings().maxBodyBytes) {
            rejectTooLarge(ctx)
        } else {
            head = request
            body = newBody()
            // A body whose length is known is refused before it is read, so that those that are accepted fit.
            if (!body.reserve(length.toInt())) {
                rejectWithoutMemory(ctx)
                return
            }
            if (HttpUtil.is100ContinueExpected(request)) ctx.writeAndFlush(continueResponse())
        }
    }

    private fun append(
        ctx: ChannelHandlerContext,
        content: HttpContent,
    ) {
        val bytes = ByteArray(content.content().readableBytes())
        if (bytes.size > settings().maxBodyBytes - body.size) {
            rejectTooLarge(ctx)
            return
        }
        content.content().readBytes(bytes)
        if (!body.append(bytes)) rejectWithoutMemory(ctx)
    }

    private fun complete(ctx: ChannelHandlerContext) {
        val request = checkNotNull(head) { "end of a request body without a request head" }
        val heldBytes = headLimit.takeHeldBytes()
        val received = AssembledRequest(request, body) { quota.release(heldBytes) }
        head = null
        body = newBody()
        headLimitHandler.onRequestComplete()
        ctx.fireChannelRead(received)
    }

    private fun newBody() = GrowingBuffer(quota, settings().maxBodyBytes)

    override fun channelInactive(ctx: ChannelHandlerContext) {
        body.clear()
        headLimit.release()
        ctx.fireChannelInactive()
    }

    private fun rejectWithoutMemory(ctx: ChannelHandlerContext) {
        EventLog.warn("request refused: no memory for its content", "path" to head?.uri(), "bytes" to body.size)
        reject(ctx, RefusalReason.OVERLOADED, "too many large requests are received at once")
    }

    private fun rejectTooLarge(ctx: ChannelHandlerContext) {
        val message = "the body is larger than ${settings().maxBodyBytes} bytes"
        rejectOverLimit(ctx, RefusalReason.BODY_TOO_LARGE, message)
    }

    private fun rejectLongHead(ctx: ChannelHandlerContext) {
        val message = "the head is larger than ${settings().maxHeaderBytes} bytes"
        rejectOverLimit(ctx, RefusalReason.HEAD_TOO_LARGE, message)
    }

    private fun rejectOverLimit(
        ctx: ChannelHandlerContext,
        reason: RefusalReason,
        message: String,
    ) {
        EventLog.info("request above a limit", "reason" to reason.code, "is_final" to settings().areLimitsFinal)
        if (settings().areLimitsFinal) {
            reject(ctx, reason, message)
        } else {
            reject(ctx, RefusalReason.CONFIGURATION_MISSING, "the limits on requests are not known yet")
        }
    }

    private fun reject(
        ctx: ChannelHandlerContext,
        reason: RefusalReason,
        message: String,
    ) {
        rejected = true
        body.clear()
        headLimit.release()
        val text = """{"error":{"outcome":"not_run","reason":"${reason.code}","message":"$message"}}"""
        val retryAfter = listOf("Retry-After" to RETRY_AFTER_SECONDS).filter { reason.retryable }
        val headers = listOf("Oriolespindle-Outcome" to "not_run") + retryAfter
        // The answers to earlier requests come first; a caller would take this one for theirs.
        ctx.fireChannelRead(RejectedRequest(HttpAnswer.json(reason.httpStatus, text, headers)))
    }

    private fun continueResponse(): FullHttpResponse =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)

    private companion object {
        const val RETRY_AFTER_SECONDS = "1"
    }
}
