package oriolespindle.router.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.TooLongHttpHeaderException

/** Creates the headers of answers and trailers that are decoded; those with more than [maxFields] are malformed. */
internal class BoundedHeadersFactory(
    private val maxFields: Int = BoundedHeaders.MAX_FIELDS,
) : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = BoundedHeaders(maxFields)

    override fun newEmptyHeaders(): HttpHeaders = BoundedHeaders(maxFields)
}

/** A short field takes some thirty times the memory of its bytes, so that a limit in bytes is not enough. */
internal class BoundedHeaders(
    private val maxFields: Int = MAX_FIELDS,
    /** Called with each field before it is added, which fails if it throws. */
    private val onField: (name: CharSequence, value: Any) -> Unit = { _, _ -> },
) : DefaultHttpHeaders() {
    override fun add(
        name: CharSequence,
        value: Any,
    ): HttpHeaders {
        if (size() >= maxFields) throw TooLongHttpHeaderException("more than $maxFields fields")
        onField(name, value)
        return super.add(name, value)
    }

    companion object {
        const val MAX_FIELDS = 256
    }
}
