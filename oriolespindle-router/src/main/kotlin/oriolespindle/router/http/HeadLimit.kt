package oriolespindle.router.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.TooLongHttpHeaderException

/**
 * Bounds the heads of the requests of one connection, by the limit that [maxBytes] returns.
 *
 * A limit that is raised holds for a head that is being received; one that is lowered holds from the next head on,
 * since a caller may still rely on the earlier one. The decoder's own limits cannot change after its creation.
 * Confined to the connection's event loop.
 */
internal class HeadLimit(
    private val maxBytes: () -> Int,
) : HttpHeadersFactory {
    private var maxBytesAtStart = maxBytes()
    private var hasBegun = false
    private var fieldBytes = 0L

    private val current: Int get() = maxOf(maxBytes(), maxBytesAtStart)

    /** Called when bytes of a head have arrived. */
    fun onBytes() {
        if (!hasBegun) maxBytesAtStart = maxBytes()
        hasBegun = true
    }

    /** Called when a request is complete; a part of the next head may have arrived with its end. */
    fun onRequestComplete() {
        maxBytesAtStart = maxBytes()
        hasBegun = false
    }

    /** Whether a head of which [bytes] have arrived, and which is not complete, may go on. */
    fun allowsUnfinished(bytes: Long): Boolean = bytes <= current

    /** Whether the complete head of [request] may be served. */
    fun allows(request: HttpRequest): Boolean {
        val line = request.method().name().length + request.uri().length + request.protocolVersion().text().length
        return line + LINE_SEPARATORS + fieldBytes + LINE_END <= current
    }

    override fun newHeaders(): HttpHeaders {
        hasBegun = true
        fieldBytes = 0
        return BoundedHeaders(onField = ::onField)
    }

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()

    private fun onField(
        name: CharSequence,
        value: Any,
    ) {
        fieldBytes += name.length + value.toString().length + FIELD_SEPARATORS
        if (fieldBytes > current) throw TooLongHttpHeaderException("the fields have more than $current bytes")
    }

    private companion object {
        const val LINE_END = 2

        /** Two spaces and the end of the line. */
        const val LINE_SEPARATORS = 2 + LINE_END

        /** A colon and the end of the line; the space after the colon is optional. */
        const val FIELD_SEPARATORS = 1 + LINE_END
    }
}
