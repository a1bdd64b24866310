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

/**
 * Closes connections that send a request too slowly or stay idle too long, and reports to [observer].
 *
 * A limit of [settings] that is raised holds for open connections too, since callers rely on the limit in force. One
 * that is lowered holds from the next request or answer on, since a caller may still rely on the earlier one.
 */
internal class RequestTimeoutHandler(
    private val settings: () -> HttpServerSettings,
    private val observer: ConnectionObserver,
    private val connectionNumber: Long,
) : ChannelInboundHandlerAdapter() {
    private enum class Phase { IDLE, RECEIVING, BUSY }

    private var timeout: ScheduledFuture<*>? = null
    private var phase = Phase.IDLE
    private var phaseSince = Timestamp.ZERO
    private var openedAt = Timestamp.ZERO

    /** Whether bytes have arrived since the last complete request. */
    private var hasUnfinishedRequest = false

    /** The number of requests that have begun on the connection. */
    var requestCount: Int = 0
        private set

    /** How long the connection has been open. */
    val connectionAge: Duration get() = monotonicNow() - openedAt

    override fun channelActive(ctx: ChannelHandlerContext) {
        observer.onOpened()
        openedAt = monotonicNow()
        enter(ctx, Phase.IDLE)
        ctx.fireChannelActive()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        hasUnfinishedRequest = true
        if (phase == Phase.IDLE) beginRequest(ctx)
        ctx.fireChannelRead(message)
    }

    private fun beginRequest(ctx: ChannelHandlerContext) {
        requestCount++
        observer.onRequestStarted(requestId())
        enter(ctx, Phase.RECEIVING)
    }

    /** Called when a request is complete, which may have to wait for the answers to earlier ones. */
    fun onRequestComplete() {
        hasUnfinishedRequest = false
    }

    /** Called when the handling of a complete request begins. */
    fun onRequestReceived() {
        phase = Phase.BUSY
        timeout?.cancel(false)
    }

    /** Called when all complete requests are answered; the next one may have arrived in part. */
    fun onConnectionIdle(ctx: ChannelHandlerContext) {
        if (!ctx.channel().isActive) return
        if (phase != Phase.IDLE) observer.onRequestFinished(requestId())
        if (hasUnfinishedRequest) beginRequest(ctx) else enter(ctx, Phase.IDLE)
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is CloseWhenIdle && phase == Phase.IDLE && monotonicNow() - phaseSince >= event.idleFor) {
            closeUnlessReadable(ctx)
        }
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

    private fun enter(
        ctx: ChannelHandlerContext,
        entered: Phase,
    ) {
        phase = entered
        phaseSince = monotonicNow()
        scheduleClose(ctx, currentLimit())
    }

    private fun currentLimit(): Duration = settings().run { if (phase == Phase.IDLE) idleTimeout else requestTimeout }

    private fun scheduleClose(
        ctx: ChannelHandlerContext,
        delay: Duration,
    ) {
        timeout?.cancel(false)
        timeout = ctx.executor().schedule({ onTimeout(ctx) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Closes the connection unless the limit has been raised meanwhile. */
    private fun onTimeout(ctx: ChannelHandlerContext) {
        val remaining = phaseSince + currentLimit() - monotonicNow()
        if (remaining.inWholeMilliseconds > 0) scheduleClose(ctx, remaining) else closeUnlessReadable(ctx)
    }

    /**
     * Closes the connection if it is in the same phase after the event loop has read what has arrived.
     *
     * Timers that became due while the event loop was occupied run before it reads the bytes that arrived meanwhile.
     */
    private fun closeUnlessReadable(ctx: ChannelHandlerContext) {
        val since = phaseSince
        val close = { if (phase != Phase.BUSY && phaseSince == since) ctx.close() }
        timeout?.cancel(false)
        timeout = ctx.executor().schedule({ close() }, READ_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** The event loop reads in each iteration, and tasks that are due later run in a later iteration. */
        const val READ_DELAY_MILLIS = 1L
    }
}
