package oriolespindle.router.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil
import oriolespindle.router.logging.EventLog

/** Decodes the responses of one connection and detects bytes that belong to none of them. */
internal class ResponseDecoder : HttpResponseDecoder(decoderConfig()) {
    private var isInputEnded = false

    /** Whether bytes that follow the last decoded response are buffered. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    /** Whether the response has no body although its headers may state a length, as the response to HEAD. */
    var isBodiless: Boolean = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isBodiless || super.isContentAlwaysEmpty(message)

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

    /** Ends a response without a length only if the server has closed its direction; other closes break it off. */
    override fun decodeLast(
        ctx: ChannelHandlerContext,
        input: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (isInputEnded) super.decodeLast(ctx, input, out)
    }

    private companion object {
        /** Bounds memory; it is not meant to restrict the headers that endpoints add to their responses. */
        const val MAX_HEADER_BYTES = 32 * 1024

        fun decoderConfig(): HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setHeadersFactory(BoundedHeadersFactory())
                .setTrailersFactory(BoundedHeadersFactory())
    }
}
