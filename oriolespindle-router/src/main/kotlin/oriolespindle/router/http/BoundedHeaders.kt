package oriolespindle.router.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.TooLongHttpHeaderException

/** Creates the headers of heads and trailers that are decoded; those with more than [maxFields] are malformed. */
internal class BoundedHeadersFactory(
    private val maxFields: Int = MAX_FIELDS,
) : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = BoundedHeaders(maxFields)

    override fun newEmptyHeaders(): HttpHeaders = BoundedHeaders(maxFields)

    private companion object {
        const val MAX_FIELDS = 256
    }
}

/** A short field takes some thirty times the memory of its bytes, so that a limit in bytes is not enough. */
private class BoundedHeaders(
    private val maxFields: Int,
) : DefaultHttpHeaders() {
    override fun add(
        name: CharSequence,
        value: Any,
    ): HttpHeaders {
        if (size() >= maxFields) throw TooLongHttpHeaderException("more than $maxFields fields")
        return super.add(name, value)
    }
}
