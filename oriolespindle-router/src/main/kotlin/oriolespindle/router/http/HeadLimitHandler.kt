package oriolespindle.router.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/** An event that ends the request whose head is being received, since the head is longer than the limit. */
internal object HeadTooLong

/**
 * Rejects a head that grows over [limit] before it is complete, so that it cannot use up memory.
 *
 * The fields are counted exactly when they are decoded; this bounds a line that is not complete. The bytes that arrive
 * together with the end of the request before are not counted.
 */
internal class HeadLimitHandler(
    private val limit: HeadLimit,
) : ChannelInboundHandlerAdapter() {
    private var isAwaitingHead = true
    private var bytes = 0L
    private var isRejected = false

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (isRejected) {
            ReferenceCountUtil.release(message)
            return
        }
        if (isAwaitingHead) {
            limit.onBytes()
            bytes += (message as? ByteBuf)?.readableBytes() ?: 0
        }
        ctx.fireChannelRead(message)
        if (isAwaitingHead && !limit.allowsUnfinished(bytes)) {
            isRejected = true
            ctx.fireUserEventTriggered(HeadTooLong)
        }
    }

    /** Called when the head of a request is complete. */
    fun onHeadComplete() {
        isAwaitingHead = false
    }

    /** Called when a request is complete, after which the head of another one may follow. */
    fun onRequestComplete() {
        isAwaitingHead = true
        bytes = 0
        limit.onRequestComplete()
    }
}
