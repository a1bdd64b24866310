package oriolespindle.router.http

import io.netty.handler.codec.http.HttpHeaders
import oriolespindle.core.http.AnswerFault
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** An event of a request that this instance sends; the last one of each request is [End] or [Failed]. */
public sealed interface ClientEvent {
    /** The status and the headers of the response have arrived. */
    public data class Head(
        public val status: Int,
        public val headers: HttpHeaders,
    ) : ClientEvent

    /** A part of the response's body. */
    public class Data(
        public val bytes: ByteArray,
    ) : ClientEvent

    /** The response is complete. */
    public data object End : ClientEvent

    /**
     * No complete response will arrive. If [sent] is false, no byte of the request left this instance.
     *
     * @property fault what was wrong with the bytes that arrived, if anything.
     */
    public data class Failed(
        public val kind: FailureKind,
        public val sent: Boolean,
        public val fault: AnswerFault? = null,
    ) : ClientEvent {
        /** The failure in logs and metrics. */
        public val reason: String get() = fault?.code ?: kind.name.lowercase()
    }
}

/** Why no complete response will arrive. */
public enum class FailureKind {
    /** No connection could be opened. */
    CONNECT_FAILED,

    /** The connection was closed or reset before the response was complete. */
    CONNECTION_LOST,

    /** The response is not valid HTTP/1.1. */
    MALFORMED,

    /** The timeout of the call has passed. */
    TIMEOUT,

    /** [ClientRequest.notAfter] passed before a connection was open. */
    EXPIRED,

    /** [ClientRequest.isWanted] was false once a connection was open. */
    UNWANTED,

    /** The call was cancelled with [ClientCall.cancel]. */
    CANCELLED,
}

/**
 * A request to send.
 *
 * @property headers set after all other headers.
 * @property relayed all headers of a caller's request, which replace `Host` and `Content-Type`.
 * @property freshConnection whether a new connection is opened instead of using a pooled one.
 * @property maxIdle the maximum idle time of a pooled connection for this request; null for the client's setting.
 * @property connections the connections that the request was sent over before, none of which it uses again.
 * @property notAfter the latest time to send the request, checked on the open connection just before the first byte.
 * @property isWanted returns whether the request may still be sent, asked on the open connection just before the first
 *   byte.
 * @property isAnswer returns whether headers are of the response to this request; a response with other headers belongs
 *   to an earlier request and is skipped.
 * @property onHead called with the head of the response, and with those of skipped responses on the connection if this
 *   request opened it: they are of the same process, even if another one is expected at the address by then.
 * @property isReusableAfter returns whether another request may use the connection after a response with these headers;
 *   one that may belong to an earlier request leaves the real one outstanding.
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
    public val connections: ConnectionHistory = ConnectionHistory(),
    public val notAfter: Timestamp? = null,
    public val isWanted: () -> Boolean = { true },
    public val isAnswer: (HttpHeaders) -> Boolean = { true },
    public val onHead: (ClientEvent.Head) -> Unit = {},
    public val isReusableAfter: (HttpHeaders) -> Boolean = { true },
)

/**
 * Receives the events of one call on an event loop thread.
 *
 * Returns false if it cannot take the event now; the client then stops reading and offers the same event again.
 */
public typealias ClientListener = (ClientEvent) -> Boolean
