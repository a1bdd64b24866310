package oriolespindle.router.http

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import oriolespindle.core.http.AnswerFault
import oriolespindle.router.logging.EventLog
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Converts the HTTP messages of one connection into the events of the call that uses it. */
internal class ClientCallHandler(
    private val address: Address,
    private val pool: ConnectionPool,
    /** Called with the fault of each answer that ends a call. */
    private val onFault: (AnswerFault, cause: Throwable?) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var current: ClientCall? = null
    private var isAnswer: (HttpHeaders) -> Boolean = { true }
    private var onHead: (ClientEvent.Head) -> Unit = {}

    /** [ClientRequest.onHead] of the request that opened the connection. */
    private var onSkippedHead: ((ClientEvent.Head) -> Unit)? = null
    private var isReusableAfter: (HttpHeaders) -> Boolean = { true }
    private var requestWritten: ChannelFuture? = null
    private var keepAlive = false
    private var keepAliveTimeout: Duration? = null

    /** Whether the response being received is skipped: it is interim or belongs to an earlier request. */
    private var isSkipped = false

    /** The bytes received for the current call that are no part of its response. */
    private var skippedBytes = 0L

    /** Sends [message], which encodes [request], for [call]; the next response that the request accepts is its own. */
    fun send(
        ctx: ChannelHandlerContext,
        call: ClientCall,
        message: FullHttpRequest,
        request: ClientRequest,
    ) {
        current = call
        skippedBytes = 0
        isAnswer = request.isAnswer
        isReusableAfter = request.isReusableAfter
        onHead = request.onHead
        if (onSkippedHead == null) onSkippedHead = request.onHead
        val decoder = ctx.pipeline().get(ResponseDecoder::class.java)
        decoder.isBodiless = message.method() == HttpMethod.HEAD
        decoder.isAwaited = true
        requestWritten = ctx.channel().writeAndFlush(message)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            when (message) {
                is HttpObject -> accept(ctx, message)
                is BrokenAnswer -> fail(ctx, FailureKind.MALFORMED, message.fault, message.cause)
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun accept(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        val call = current
        if (call == null) {
            ctx.close()
            return
        }
        if (message is HttpResponse) isSkipped = message.status().codeClass() == INTERIM || !isAnswer(message.headers())
        val head = (message as? HttpResponse)?.let { ClientEvent.Head(it.status().code(), it.headers()) }
        if (isSkipped) {
            head?.let { onSkippedHead?.invoke(it) }
            skip(ctx, message)
            return
        }
        if (message is HttpResponse && head != null) {
            keepAlive = HttpUtil.isKeepAlive(message) && isReusableAfter(message.headers())
            keepAliveTimeout = keepAliveTimeout(message.headers())
            onHead(head)
            call.deliver(head)
        }
        if (message is HttpContent && message.content().isReadable) {
            val bytes = ByteArray(message.content().readableBytes())
            message.content().readBytes(bytes)
            call.deliver(ClientEvent.Data(bytes))
        }
        if (message is LastHttpContent) complete(ctx, call)
    }

    /** Ends the call when too many bytes arrive that are no part of its response, since they may never end. */
    private fun skip(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        skippedBytes += if (message is HttpContent) message.content().readableBytes() else SKIPPED_HEAD_BYTES
        if (skippedBytes > MAX_SKIPPED_BYTES) fail(ctx, FailureKind.MALFORMED, AnswerFault.SURPLUS)
    }

    /** Ends the call in progress, if any, and the connection. */
    private fun fail(
        ctx: ChannelHandlerContext,
        kind: FailureKind,
        fault: AnswerFault?,
        cause: Throwable? = null,
    ) {
        val call = current
        current = null
        if (call?.fail(kind, fault) == true && fault != null) onFault(fault, cause)
        ctx.close()
    }

    private fun onConnectionLost(ctx: ChannelHandlerContext) {
        val isHeadCut = ctx.pipeline().get(ResponseDecoder::class.java)?.hasPartialHead == true
        fail(ctx, FailureKind.CONNECTION_LOST, AnswerFault.HEAD_CUT.takeIf { isHeadCut })
    }

    private fun complete(
        ctx: ChannelHandlerContext,
        call: ClientCall,
    ) {
        current = null
        // A server may answer before it has read the request; the rest of the body must not be parsed as the next one.
        val reusable = keepAlive && requestWritten?.isSuccess == true && !hasUnreadBytes(ctx)
        ctx.pipeline().get(ResponseDecoder::class.java)?.isAwaited = false
        call.deliver(ClientEvent.End)
        if (call.detach() && reusable) pool.put(address, ctx.channel(), keepAliveTimeout) else ctx.close()
    }

    /** Returns whether bytes follow the complete response; they belong to no request, so the connection is closed. */
    private fun hasUnreadBytes(ctx: ChannelHandlerContext): Boolean =
        ctx.pipeline().get(ResponseDecoder::class.java)?.hasUnreadBytes ?: false

    /** Returns the `Keep-Alive` timeout less a margin for a close in transit, or null if there is no timeout. */
    private fun keepAliveTimeout(headers: HttpHeaders): Duration? {
        val seconds = KEEP_ALIVE_TIMEOUT.find(headers.get("Keep-Alive").orEmpty())?.groupValues?.get(1)
        return seconds?.toLongOrNull()?.seconds?.minus(CLOSE_MARGIN)
    }

    /** Closes the connection whose server has closed its direction; the decoder has ended the response if it may. */
    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is ChannelInputShutdownEvent) onConnectionLost(ctx)
        ctx.fireUserEventTriggered(event)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        onConnectionLost(ctx)
        ctx.fireChannelInactive()
    }

    @Deprecated("Netty marks exceptionCaught as deprecated for outbound handlers only")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        // After a reset, too, Netty reports that the input has ended, which would end a response without a length.
        if (cause !is IOException) EventLog.warn("call failed", "server" to address, "cause" to cause)
        onConnectionLost(ctx)
    }

    private companion object {
        /** Enough for a second copy of an earlier answer. */
        const val MAX_SKIPPED_BYTES = 1024L * 1024

        /** The assumed size of the head of a skipped response. */
        const val SKIPPED_HEAD_BYTES = 256
        val INTERIM = HttpStatusClass.INFORMATIONAL
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout=(\d+)""")
        val CLOSE_MARGIN = 200.milliseconds
    }
}
