package oriolespindle.router.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.TooLongHttpHeaderException
import oriolespindle.core.relay.ByteQuota

/** No memory is left for the fields of a head. */
internal class HeadMemoryException : RuntimeException("no memory is left for the fields of a head")

/**
 * Bounds the heads of the requests of one connection, by the limit that [maxBytes] returns.
 *
 * A short field takes some thirty times the memory of its bytes. So fields beyond the first [FREE_FIELDS] of a head
 * take their memory from [quota], which all connections share, until [release] or the end of the request.
 *
 * A limit that is raised holds for a head that is being received; one that is lowered holds from the next head on,
 * since a caller may still rely on the earlier one. The decoder's own limits cannot change after its creation.
 * Confined to the connection's event loop.
 */
internal class HeadLimit(
    private val quota: ByteQuota,
    private val maxBytes: () -> Int,
) : HttpHeadersFactory {
    private var maxBytesAtStart = maxBytes()
    private var hasBegun = false
    private var fieldBytes = 0L
    private var fields = 0

    /** The memory of the head that is taken from [quota]. */
    private var heldBytes = 0

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
        fields = 0
        return BoundedHeaders(maxFields = Int.MAX_VALUE, ::onField)
    }

    /** Leaves it to the caller to return the memory of the complete head to the quota; returns its size. */
    fun takeHeldBytes(): Int = heldBytes.also { heldBytes = 0 }

    /** Returns the memory of a head that is given up. */
    fun release() = quota.release(takeHeldBytes())

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()

    private fun onField(
        name: CharSequence,
        value: Any,
    ) {
        fieldBytes += name.length + value.toString().length + FIELD_SEPARATORS
        if (fieldBytes > current) throw TooLongHttpHeaderException("the fields have more than $current bytes")
        if (++fields > FREE_FIELDS) hold(FIELD_COST + name.length + value.toString().length)
    }

    private fun hold(bytes: Int) {
        if (!quota.tryTake(bytes)) throw HeadMemoryException()
        heldBytes += bytes
    }

    private companion object {
        const val LINE_END = 2
        const val FREE_FIELDS = 256

        /** The memory of a field beside its bytes: an entry and two strings, in bytes. */
        const val FIELD_COST = 160

        /** Two spaces and the end of the line. */
        const val LINE_SEPARATORS = 2 + LINE_END

        /** A colon and the end of the line; the space after the colon is optional. */
        const val FIELD_SEPARATORS = 1 + LINE_END
    }
}
