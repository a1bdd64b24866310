package oriolespindle.router.http

import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.util.concurrent.GlobalEventExecutor
import oriolespindle.core.http.AnswerFault
import java.util.concurrent.TimeUnit

/** A request of an [HttpClient] in progress. */
public class ClientCall internal constructor(
    private val listener: ClientListener,
) {
    private val pending = ArrayDeque<ClientEvent>()
    private var channel: Channel? = null
    private var ended = false
    private var paused = false
    private var redeliveryScheduled = false

    /** Whether the request was handed to a connection. */
    @Volatile
    public var sent: Boolean = false
        private set

    /**
     * Cancels the call and resets its connection.
     *
     * The reset keeps the rest of the response from reaching another request. It also discards the bytes of the request
     * that the network has not delivered yet, for example behind a partition, so that it does not run later.
     */
    public fun cancel() {
        fail(FailureKind.CANCELLED)
    }

    /** Stops reading the response until [resumeReading] is called. */
    public fun pauseReading() {
        setPaused(true)
    }

    /** Resumes reading the response. */
    public fun resumeReading() {
        setPaused(false)
    }

    /** Ends the call because of [kind] and [fault]; returns false if it had ended before. */
    internal fun fail(
        kind: FailureKind,
        fault: AnswerFault? = null,
    ): Boolean {
        val open = synchronized(this) { channel.takeUnless { ended } }
        val isDelivered = deliver(ClientEvent.Failed(kind, sent = open != null || sent, fault))
        open?.let(::reset)
        return isDelivered
    }

    private fun reset(connection: Channel) {
        val loop = connection.eventLoop()
        if (!loop.inEventLoop()) {
            loop.execute { reset(connection) }
            return
        }
        if (connection.isOpen) connection.config().setOption(ChannelOption.SO_LINGER, 0)
        connection.close()
    }

    /** Binds the call to [connection], or returns false if the call has already ended. */
    @Synchronized
    internal fun attach(connection: Channel): Boolean {
        if (ended) return false
        channel = connection
        sent = true
        if (paused) connection.config().isAutoRead = false
        return true
    }

    /**
     * Passes [event] to the listener, after the pending events that it could not take yet.
     *
     * Returns false if the call had ended before.
     */
    @Synchronized
    internal fun deliver(event: ClientEvent): Boolean {
        if (ended) return false
        if (event is ClientEvent.End || event is ClientEvent.Failed) ended = true
        if (pending.isNotEmpty() || !listener(event)) {
            pending.addLast(event)
            channel?.config()?.isAutoRead = false
            scheduleRedelivery()
        }
        return true
    }

    /** Releases the connection after a complete response, and returns whether another call may use it. */
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
        loop.schedule(::redeliver, REDELIVERY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
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
        const val REDELIVERY_DELAY_MILLIS = 2L
    }
}
