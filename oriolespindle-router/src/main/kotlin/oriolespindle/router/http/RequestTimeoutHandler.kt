package oriolespindle.router.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Closes connections that send a request too slowly or stay idle too long. */
internal class RequestTimeoutHandler(
    private val requestTimeout: Duration,
    private val idleTimeout: Duration,
) : ChannelInboundHandlerAdapter() {
    private var timeout: ScheduledFuture<*>? = null
    private var receiving = false
    private var busy = false

    override fun channelActive(ctx: ChannelHandlerContext) {
        schedule(ctx, idleTimeout)
        ctx.fireChannelActive()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (!receiving && !busy) {
            receiving = true
            schedule(ctx, requestTimeout)
        }
        ctx.fireChannelRead(message)
    }

    fun requestReceived() {
        receiving = false
        busy = true
        timeout?.cancel(false)
    }

    fun connectionIdle(ctx: ChannelHandlerContext) {
        receiving = false
        busy = false
        schedule(ctx, idleTimeout)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timeout?.cancel(false)
        ctx.fireChannelInactive()
    }

    private fun schedule(
        ctx: ChannelHandlerContext,
        delay: Duration,
    ) {
        timeout?.cancel(false)
        timeout = ctx.executor().schedule({ ctx.close() }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
}
