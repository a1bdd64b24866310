package oriolespindle.router.http

import io.netty.handler.codec.http.HttpHeaders
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** What happens to a request that this instance sent, in order; the last event is [End] or [Failed]. */
public sealed interface ClientEvent {
    /** The status and the headers of the response have arrived. */
    public data class Head(
        public val status: Int,
        public val headers: HttpHeaders,
    ) : ClientEvent

    /** Some bytes of the response's body. */
    public class Data(
        public val bytes: ByteArray,
    ) : ClientEvent

    /** The response arrived whole. */
    public data object End : ClientEvent

    /** No whole response will arrive. When [sent] is false, no byte of the request left this instance. */
    public data class Failed(
        public val kind: FailureKind,
        public val sent: Boolean,
    ) : ClientEvent
}

/** Why no whole response will arrive. */
public enum class FailureKind {
    /** No connection could be opened. */
    CONNECT_FAILED,

    /** The connection was closed or reset before the response was whole. */
    CONNECTION_LOST,

    /** The response is not valid HTTP/1.1. */
    MALFORMED,

    /** The time allowed for the call has passed. */
    TIMEOUT,

    /** The request's latest time to be sent passed before a connection was open. */
    EXPIRED,

    /** The caller of the client cancelled the call. */
    CANCELLED,
}

/**
 * A request to send.
 *
 * With [freshConnection] no pooled connection is used, and with [maxIdle] none that has been idle for longer. After
 * [notAfter] nothing is sent; that is checked on the open connection, just before the first byte. [relayed] has the
 * whole headers of a caller's request and takes the place of `Host` and `Content-Type`; [headers] are set after it.
 * A response whose headers [isAnswer] does not accept belongs to an earlier request and is skipped.
 */
public class ClientRequest(
    public val address: Address,
    public val method: String,
    public val uri: String,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = "application/json",
    public val headers: List<Pair<String, String>> = emptyList(),
    public val relayed: HttpHeaders? = null,
    public val freshConnection: Boolean = false,
    public val maxIdle: Duration? = null,
    public val notAfter: Timestamp? = null,
    public val isAnswer: (HttpHeaders) -> Boolean = { true },
)

/**
 * Receives the events of one call on an event loop thread.
 *
 * Returns false when the event cannot be taken now; the client then stops reading and offers the same event again.
 */
public typealias ClientListener = (ClientEvent) -> Boolean
