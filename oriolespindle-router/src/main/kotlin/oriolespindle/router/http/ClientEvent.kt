package oriolespindle.router.http

import io.netty.handler.codec.http.HttpHeaders
import oriolespindle.core.time.Timestamp

/** What happens to a request that this instance sent, in order; the last event is [End] or [Failed]. */
internal sealed interface ClientEvent {
    data class Head(
        val status: Int,
        val headers: HttpHeaders,
    ) : ClientEvent

    class Data(
        val bytes: ByteArray,
    ) : ClientEvent

    /** The response arrived whole. */
    data object End : ClientEvent

    /** No whole response will arrive. When [sent] is false, no byte of the request left this instance. */
    data class Failed(
        val kind: FailureKind,
        val sent: Boolean,
    ) : ClientEvent
}

internal enum class FailureKind {
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
 * With [freshConnection] no pooled connection is used. After [notAfter] nothing is sent; that is checked on the open
 * connection, just before the first byte.
 */
internal class ClientRequest(
    val address: Address,
    val method: String,
    val uri: String,
    val body: ByteArray = ByteArray(0),
    val contentType: String = "application/json",
    val headers: List<Pair<String, String>> = emptyList(),
    val freshConnection: Boolean = false,
    val notAfter: Timestamp? = null,
)

/**
 * Receives the events of one call on an event loop thread.
 *
 * Returns false when the event cannot be taken now; the client then stops reading and offers the same event again.
 */
internal typealias ClientListener = (ClientEvent) -> Boolean
