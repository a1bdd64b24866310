package oriolespindle.router.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import oriolespindle.core.http.AnswerFault
import oriolespindle.core.relay.ByteQuota
import oriolespindle.core.relay.GrowingBuffer
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the connections of one [HttpClient].
 *
 * @property maxIdle how long an idle connection stays in the pool.
 * @property maxIdlePerAddress how many idle connections the pool keeps for each address.
 * @property maxAnswerBytes the most bytes of an answer that is collected; twice the default limit of request bodies.
 * @property maxBufferedBytes the most memory of all answers that are collected and of partial events.
 */
public data class HttpClientSettings(
    public val connectTimeout: Duration = 1.seconds,
    public val maxIdle: Duration = 20.seconds,
    public val maxIdlePerAddress: Int = 32,
    public val maxAnswerBytes: Int = 8 * 1024 * 1024,
    public val maxBufferedBytes: Int = 24 * 1024 * 1024,
)

/**
 * Sends HTTP/1.1 requests over pooled connections, one request at a time on each connection.
 *
 * [onFault] is called on an event loop thread with the fault of each answer that ended a call.
 */
public class HttpClient(
    private val group: EventLoopGroup,
    private val settings: HttpClientSettings = HttpClientSettings(),
    private val onFault: (AnswerFault) -> Unit = {},
) {
    private val pool = ConnectionPool(settings.maxIdle, settings.maxIdlePerAddress)

    /** Bounds the parts of all answers of this client that wait for more bytes. */
    public val buffers: ByteQuota = ByteQuota(settings.maxBufferedBytes)

    /** Sends [request] and passes the events of the call to [listener]; a null [timeout] means no time limit. */
    public fun send(
        request: ClientRequest,
        timeout: Duration? = null,
        listener: ClientListener,
    ): ClientCall {
        val call = ClientCall(listener)
        val pooled =
            if (request.freshConnection) {
                null
            } else {
                pool.take(
                    request.address,
                    request.maxIdle ?: settings.maxIdle,
                    mayUse = { it !in request.connections },
                )
            }
        if (pooled != null) {
            pooled.eventLoop().execute { sendOver(call, request, pooled) }
        } else {
            connect(request.address).addListener(
                ChannelFutureListener { future -> onConnectCompleted(call, request, future) },
            )
        }
        timeout?.let { limit ->
            group.next().schedule({ call.fail(FailureKind.TIMEOUT) }, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
        return call
    }

    /** Returns a buffer for the body of one answer that is used only when it is complete. */
    public fun newAnswerBuffer(): GrowingBuffer = GrowingBuffer(buffers, settings.maxAnswerBytes)

    /**
     * Sends [request] and collects the complete response; [result] is called once, on an event loop thread.
     *
     * The call is given up after [timeout] unless a response is arriving then and [transfer] allows it more time.
     */
    public fun call(
        request: ClientRequest,
        timeout: Duration,
        transfer: TransferLimits? = null,
        result: (HttpOutcome) -> Unit,
    ) {
        val body = newAnswerBuffer()
        val startedAt = monotonicNow()
        var receivedAt: Timestamp? = null
        var head = ClientEvent.Head(0, EmptyHttpHeaders.INSTANCE)
        var isOversized = false
        var call: ClientCall? = null
        call =
            send(request) { event ->
                receivedAt = monotonicNow()
                when (event) {
                    is ClientEvent.Head -> {
                        head = event
                    }

                    is ClientEvent.Data -> {
                        if (!isOversized) isOversized = !body.append(event.bytes)
                        // The first events may arrive before the call is known here.
                        if (isOversized) call?.cancel()
                    }

                    is ClientEvent.End -> {
                        val bytes = body.toByteArray()
                        body.clear()
                        val response = HttpOutcome.Response(head.status, bytes, head.headers)
                        result(if (isOversized) HttpOutcome.TooLarge else response)
                    }

                    is ClientEvent.Failed -> {
                        body.clear()
                        result(
                            when {
                                isOversized -> HttpOutcome.TooLarge
                                event.sent -> HttpOutcome.Lost
                                else -> HttpOutcome.NotSent
                            },
                        )
                    }
                }
                true
            }
        failAfter(call, timeout) {
            val now = monotonicNow()
            receivedAt?.let { transfer?.timeLeft(startedAt + timeout, it, now) } ?: Duration.ZERO
        }
    }

    /** Fails [call] after [delay], or later if [timeLeft] then allows it more time. */
    private fun failAfter(
        call: ClientCall,
        delay: Duration,
        timeLeft: () -> Duration,
    ) {
        val check: () -> Unit = {
            val left = timeLeft()
            if (left > Duration.ZERO) failAfter(call, left, timeLeft) else call.fail(FailureKind.TIMEOUT)
        }
        group.next().schedule(check, delay.inWholeMilliseconds.coerceAtLeast(1), TimeUnit.MILLISECONDS)
    }

    /** Closes the pooled connections that have been idle for the maximum idle time. */
    public fun closeExpired() {
        pool.closeExpired()
    }

    /** Closes the idle pooled connections to [address], after one of its connections was found unresponsive. */
    public fun closeIdle(address: Address) {
        pool.closeAll(address)
    }

    /**
     * Opens a connection to [address] and closes it; [result] is whether it could be opened and stayed open.
     *
     * A proxy in front of a server that has ended may accept a connection and close it at once.
     */
    public fun probe(
        address: Address,
        timeout: Duration = settings.connectTimeout,
        result: (ProbeResult) -> Unit,
    ) {
        connect(address, timeout).addListener(
            ChannelFutureListener { future ->
                if (future.isSuccess) {
                    val check = {
                        val isOpen = future.channel().isActive
                        future.channel().close()
                        result(if (isOpen) ProbeResult.OPEN else ProbeResult.CLOSED)
                    }
                    future.channel().eventLoop().schedule(check, PROBE_MILLIS, TimeUnit.MILLISECONDS)
                } else {
                    result(resultOf(future.cause()))
                }
            },
        )
    }

    /** Returns what [failure] of a connection tells; a timeout is a connect exception, too. */
    private fun resultOf(failure: Throwable): ProbeResult =
        when (failure) {
            is ConnectTimeoutException -> ProbeResult.NO_ANSWER
            is ConnectException -> ProbeResult.CLOSED
            else -> ProbeResult.FAILED
        }

    private fun connect(
        address: Address,
        timeout: Duration = settings.connectTimeout,
    ): ChannelFuture =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            // Reports a close by the server apart from one by this side, for example after a failed write.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, readSizes())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        // HttpClientCodec would pair responses with requests and fail on a surplus response.
                        channel.pipeline().addLast(
                            HttpRequestEncoder(),
                            ResponseDecoder(),
                            ClientCallHandler(address, pool) { fault, cause -> reportFault(address, fault, cause) },
                        )
                    }
                },
            ).connect(address.toSocketAddress())

    private fun reportFault(
        address: Address,
        fault: AnswerFault,
        cause: Throwable?,
    ) {
        EventLog.warn("answer cannot be used", "server" to address, "fault" to fault.code, "cause" to cause)
        onFault(fault)
    }

    private fun onConnectCompleted(
        call: ClientCall,
        request: ClientRequest,
        future: ChannelFuture,
    ) {
        if (future.isSuccess) {
            sendOver(call, request, future.channel())
        } else {
            call.fail(FailureKind.CONNECT_FAILED)
        }
    }

    private fun sendOver(
        call: ClientCall,
        request: ClientRequest,
        channel: Channel,
    ) {
        if (!channel.isActive) {
            // The server closed the pooled connection, or sent unsolicited bytes, before it was used again.
            channel.close()
            connect(request.address).addListener(
                ChannelFutureListener { future -> onConnectCompleted(call, request, future) },
            )
            return
        }
        if (request.notAfter != null && monotonicNow() > request.notAfter) {
            channel.close()
            call.fail(FailureKind.EXPIRED)
            return
        }
        if (!request.isWanted()) {
            channel.close()
            call.fail(FailureKind.UNWANTED)
            return
        }
        if (!call.attach(channel)) {
            channel.close()
            return
        }
        request.connections.add(channel)
        val ctx = channel.pipeline().context(ClientCallHandler::class.java)
        (ctx.handler() as ClientCallHandler).send(ctx, call, encode(request), request)
    }

    private fun encode(request: ClientRequest): DefaultFullHttpRequest {
        val body = Unpooled.wrappedBuffer(request.body)
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.uri, body)
        val relayed = request.relayed
        if (relayed != null) {
            message.headers().set(relayed)
        } else {
            message.headers().set(HttpHeaderNames.HOST, request.address.toString())
            if (request.body.isNotEmpty()) message.headers().set(HttpHeaderNames.CONTENT_TYPE, request.contentType)
        }
        request.headers.forEach { (name, value) -> message.headers().set(name, value) }
        if (relayed == null || request.body.isNotEmpty() || request.method !in METHODS_WITHOUT_BODY) {
            HttpUtil.setContentLength(message, request.body.size.toLong())
        }
        return message
    }

    private companion object {
        const val PROBE_MILLIS = 10L
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD", "OPTIONS", "DELETE")
    }
}
