package oriolespindle.router.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import oriolespindle.core.id.RequestId
import oriolespindle.core.time.Timestamp
import oriolespindle.router.runtime.monotonicNow
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Observes the connections and requests of a listener; its functions are called on event loop threads. */
internal interface ConnectionObserver {
    fun onOpened() = Unit

    fun onClosed() = Unit

    /** The first byte of a request has arrived. */
    fun onRequestStarted(request: RequestId) = Unit

    /** The response was written, or the connection closed. */
    fun onRequestFinished(request: RequestId) = Unit

    /** An observer that does nothing. */
    object None : ConnectionObserver
}

/** An event that closes a connection if it has had no request in progress for [idleFor]. */
internal data class CloseWhenIdle(
    val idleFor: Duration,
)

/** Closes connections that send a request too slowly or stay idle too long, and reports to [observer]. */
internal class RequestTimeoutHandler(
    private val requestTimeout: Duration,
    private val idleTimeout: Duration,
    private val observer: ConnectionObserver,
    private val connectionNumber: Long,
) : ChannelInboundHandlerAdapter() {
    private enum class Phase { IDLE, RECEIVING, BUSY }

    private var timeout: ScheduledFuture<*>? = null
    private var phase = Phase.IDLE
    private var idleSince = Timestamp.ZERO
    private var openedAt = Timestamp.ZERO

    /** The number of requests that have begun on the connection. */
    var requestCount: Int = 0
        private set

    /** How long the connection has been open. */
    val connectionAge: Duration get() = monotonicNow() - openedAt

    override fun channelActive(ctx: ChannelHandlerContext) {
        observer.onOpened()
        openedAt = monotonicNow()
        idleSince = openedAt
        scheduleClose(ctx, idleTimeout)
        ctx.fireChannelActive()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (phase == Phase.IDLE) {
            phase = Phase.RECEIVING
            requestCount++
            observer.onRequestStarted(requestId())
            scheduleClose(ctx, requestTimeout)
        }
        ctx.fireChannelRead(message)
    }

    fun onRequestReceived() {
        phase = Phase.BUSY
        timeout?.cancel(false)
    }

    fun onConnectionIdle(ctx: ChannelHandlerContext) {
        if (phase != Phase.IDLE) observer.onRequestFinished(requestId())
        phase = Phase.IDLE
        idleSince = monotonicNow()
        scheduleClose(ctx, idleTimeout)
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is CloseWhenIdle && phase == Phase.IDLE && monotonicNow() - idleSince >= event.idleFor) ctx.close()
        ctx.fireUserEventTriggered(event)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timeout?.cancel(false)
        if (phase != Phase.IDLE) observer.onRequestFinished(requestId())
        phase = Phase.IDLE
        observer.onClosed()
        ctx.fireChannelInactive()
    }

    private fun requestId() = RequestId("connection-$connectionNumber-$requestCount")

    private fun scheduleClose(
        ctx: ChannelHandlerContext,
        delay: Duration,
    ) {
        timeout?.cancel(false)
        timeout = ctx.executor().schedule({ ctx.close() }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
}
