package oriolespindle.router.http

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.GlobalEventExecutor
import java.util.concurrent.TimeUnit

/** A request in progress. */
internal class ClientCall(
    private val listener: ClientListener,
) {
    private val pending = ArrayDeque<ClientEvent>()
    private var channel: Channel? = null
    private var ended = false
    private var paused = false
    private var redeliveryScheduled = false

    /** Whether the request was handed to a connection. */
    @Volatile
    var sent: Boolean = false
        private set

    /** Ends the call and closes its connection, so that what still arrives on it cannot reach another request. */
    fun cancel() {
        fail(FailureKind.CANCELLED)
    }

    fun pauseReading() {
        setPaused(true)
    }

    fun resumeReading() {
        setPaused(false)
    }

    internal fun fail(kind: FailureKind) {
        val open = synchronized(this) { channel.takeUnless { ended } }
        if (open != null) {
            deliver(ClientEvent.Failed(kind, sent = true))
            open.close()
        } else {
            deliver(ClientEvent.Failed(kind, sent = sent))
        }
    }

    /** Binds the call to [connection], or returns false when the call has ended in the meantime. */
    @Synchronized
    internal fun attach(connection: Channel): Boolean {
        if (ended) return false
        channel = connection
        sent = true
        if (paused) connection.config().isAutoRead = false
        return true
    }

    /** Passes [event] to the listener, after those that the listener could not take yet. */
    @Synchronized
    internal fun deliver(event: ClientEvent) {
        if (ended) return
        if (event is ClientEvent.End || event is ClientEvent.Failed) ended = true
        if (pending.isNotEmpty() || !listener(event)) {
            pending.addLast(event)
            channel?.config()?.isAutoRead = false
            scheduleRedelivery()
        }
    }

    /** Forgets the connection, which is free for another call once the response is whole. */
    @Synchronized
    internal fun detach(): Boolean {
        val free = pending.isEmpty() && !paused
        channel = null
        return free
    }

    @Synchronized
    private fun setPaused(value: Boolean) {
        paused = value
        if (pending.isEmpty()) channel?.config()?.isAutoRead = !value
    }

    private fun scheduleRedelivery() {
        if (redeliveryScheduled) return
        val loop = channel?.eventLoop() ?: GlobalEventExecutor.INSTANCE
        redeliveryScheduled = true
        loop.schedule(::redeliver, REDELIVERY_MILLIS, TimeUnit.MILLISECONDS)
    }

    @Synchronized
    private fun redeliver() {
        redeliveryScheduled = false
        while (pending.isNotEmpty()) {
            if (!listener(pending.first())) {
                scheduleRedelivery()
                return
            }
            pending.removeFirst()
        }
        channel?.config()?.isAutoRead = !paused
    }

    private companion object {
        const val REDELIVERY_MILLIS = 2L
    }
}

/** Turns the messages of one connection into the events of the call that uses it. */
internal class ClientCallHandler(
    private val address: Address,
    private val pool: ConnectionPool,
) : ChannelInboundHandlerAdapter() {
    var current: ClientCall? = null
    private var keepAlive = false

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpObject) accept(ctx, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun accept(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        val call = current
        if (call == null || message.decoderResult().isFailure) {
            call?.fail(FailureKind.MALFORMED)
            ctx.close()
            return
        }
        if (message is HttpResponse) {
            keepAlive = HttpUtil.isKeepAlive(message)
            call.deliver(ClientEvent.Head(message.status().code(), message.headers()))
        }
        if (message is HttpContent && message.content().isReadable) {
            val bytes = ByteArray(message.content().readableBytes())
            message.content().readBytes(bytes)
            call.deliver(ClientEvent.Data(bytes))
        }
        if (message is LastHttpContent) complete(ctx, call)
    }

    private fun complete(
        ctx: ChannelHandlerContext,
        call: ClientCall,
    ) {
        current = null
        call.deliver(ClientEvent.End)
        if (call.detach() && keepAlive) pool.put(address, ctx.channel()) else ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        val call = current
        current = null
        call?.fail(FailureKind.CONNECTION_LOST)
        ctx.fireChannelInactive()
    }

    @Deprecated("Netty marks exceptionCaught as deprecated for outbound handlers only")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }
}
