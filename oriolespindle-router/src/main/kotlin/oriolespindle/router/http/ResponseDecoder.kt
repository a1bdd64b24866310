package oriolespindle.router.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString
import io.netty.util.ReferenceCountUtil
import oriolespindle.core.http.AnswerFault
import oriolespindle.core.http.AnswerHeadCheck
import oriolespindle.router.logging.EventLog

/**
 * Decodes the responses of one connection and detects bytes that belong to none of them.
 *
 * Emits a [BrokenAnswer] and discards all further bytes if a response, interim ones included, is not valid.
 */
internal class ResponseDecoder private constructor(
    private val trailers: TrailersFactory,
) : HttpResponseDecoder(decoderConfig(trailers)) {
    constructor() : this(TrailersFactory())

    private var isInputEnded = false
    private val head = AnswerHeadCheck()

    /** The bytes from the reader index on that [head] has accepted. */
    private var checkedBytes = 0
    private var isBroken = false

    /** Whether a part of a head has arrived, but not all of it. */
    val hasPartialHead: Boolean get() = head.isPartial

    /** Whether bytes that follow the last decoded response are buffered. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    /** Whether the response has no body although its headers may state a length, as the response to HEAD. */
    var isBodiless: Boolean = false

    /** Whether a response is awaited; bytes that arrive at other times belong to none and close the connection. */
    var isAwaited: Boolean = false

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (isAwaited) {
            super.channelRead(ctx, message)
            return
        }
        ReferenceCountUtil.release(message)
        EventLog.info("bytes on an idle connection", "server" to ctx.channel().remoteAddress())
        ctx.close()
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is ChannelInputShutdownEvent) isInputEnded = true
        super.userEventTriggered(ctx, event)
    }

    override fun decode(
        ctx: ChannelHandlerContext,
        input: ByteBuf,
        out: MutableList<Any>,
    ) {
        val fault = if (isBroken) null else checkHead(input)
        if (fault != null) emitBroken(BrokenAnswer(fault), out)
        if (isBroken) {
            input.skipBytes(input.readableBytes())
            return
        }
        val start = input.readerIndex()
        val decoded = out.size
        super.decode(ctx, input, out)
        checkedBytes = (checkedBytes - (input.readerIndex() - start)).coerceAtLeast(0)
        replaceBroken(out, decoded)
    }

    /** Ends a response without a length only if the server has closed its direction; other closes break it off. */
    override fun decodeLast(
        ctx: ChannelHandlerContext,
        input: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (!isInputEnded || isBroken) return
        val decoded = out.size
        super.decodeLast(ctx, input, out)
        replaceBroken(out, decoded)
    }

    /** Checks the bytes of a head before they are decoded, since the decoder accepts many that are not valid. */
    private fun checkHead(input: ByteBuf): AnswerFault? {
        if (head.isComplete) return null
        val start = input.readerIndex() + checkedBytes
        val last = input.forEachByte(start, input.writerIndex() - start, head::accept)
        checkedBytes = (if (last < 0) input.writerIndex() else last + 1) - input.readerIndex()
        return head.fault
    }

    /** Replaces the messages after the first [decoded] ones in [out] by a [BrokenAnswer] if one of them failed. */
    private fun replaceBroken(
        out: MutableList<Any>,
        decoded: Int,
    ) {
        val added = out.subList(decoded, out.size)
        val broken = added.firstNotNullOfOrNull { (it as? HttpObject)?.let(::brokenAnswer) }
        if (broken != null) {
            added.forEach { ReferenceCountUtil.release(it) }
            added.clear()
            emitBroken(broken, out)
            return
        }
        if (added.lastOrNull() is LastHttpContent) {
            head.reset()
            trailers.hasBegun = false
        }
    }

    private fun emitBroken(
        answer: BrokenAnswer,
        out: MutableList<Any>,
    ) {
        isBroken = true
        out += answer
    }

    private fun brokenAnswer(message: HttpObject): BrokenAnswer? {
        val cause = message.decoderResult().cause() ?: return null
        val fault =
            when {
                message is HttpResponse -> faultOfHead(cause)
                trailers.hasBegun -> AnswerFault.TRAILER
                else -> AnswerFault.CHUNK
            }
        return BrokenAnswer(fault, cause)
    }

    /** Returns why the decoder has rejected a head that [AnswerHeadCheck] accepts. */
    private fun faultOfHead(cause: Throwable): AnswerFault =
        when (cause) {
            is TooLongFrameException -> AnswerFault.HEAD_TOO_LARGE
            is PrematureChannelClosureException -> AnswerFault.HEAD_CUT
            else -> AnswerFault.FRAMING
        }

    /** Called with each complete head; an exception makes the decoder reject it. */
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        require(hasKnownCoding(message)) { "unknown transfer coding" }
        return isBodiless || super.isContentAlwaysEmpty(message)
    }

    /** Whether the body of [message] is sent as it is or in chunks; the decoder passes other codings on undecoded. */
    private fun hasKnownCoding(message: HttpMessage): Boolean {
        val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        if (codings.isEmpty()) return true
        val isChunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.singleOrNull()?.trim())
        return isChunked && message.protocolVersion() == HttpVersion.HTTP_1_1
    }

    /** Called with each name in a head or in trailers, which the decoder ends at a blank as well as at a colon. */
    override fun splitHeaderName(
        line: ByteArray,
        start: Int,
        length: Int,
    ): AsciiString {
        require(line.getOrNull(start + length) == COLON) { "no colon after the name of a field" }
        return super.splitHeaderName(line, start, length)
    }

    /** Creates the fields that follow the last chunk and tells that they have begun. */
    private class TrailersFactory : HttpHeadersFactory {
        private val fields = BoundedHeadersFactory()
        var hasBegun = false

        override fun newHeaders(): HttpHeaders = fields.newHeaders().also { hasBegun = true }

        override fun newEmptyHeaders(): HttpHeaders = fields.newEmptyHeaders().also { hasBegun = true }
    }

    private companion object {
        /** Bounds memory; it is not meant to restrict the headers that endpoints add to their responses. */
        const val MAX_HEADER_BYTES = 32 * 1024
        const val COLON = ':'.code.toByte()

        fun decoderConfig(trailers: HttpHeadersFactory): HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setHeadersFactory(BoundedHeadersFactory())
                .setTrailersFactory(trailers)
    }
}
