package oriolespindle.router.relay

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Copies headers between the two connections of a relayed request, without the hop-by-hop headers. */
internal class RelayHeaders(
    private val names: RelayHeaderNames,
) {
    private val ownNames =
        names.reserved + setOfNotNull(names.team, names.expectedEndpoint, names.path, names.priority)

    /** Returns the headers of a caller's request to send to an endpoint, without the key if [dropKey] is set. */
    fun forEndpoint(
        headers: HttpHeaders,
        dropKey: Boolean,
    ): HttpHeaders {
        val copy = withoutConnectionHeaders(headers)
        ownNames.forEach { copy.remove(it) }
        copy.remove(HttpHeaderNames.EXPECT)
        if (dropKey) copy.remove(HttpHeaderNames.AUTHORIZATION)
        return copy
    }

    /** Returns the headers of an endpoint's answer to send to the caller. */
    fun forCaller(headers: HttpHeaders): HttpHeaders = withoutConnectionHeaders(headers)

    private fun withoutConnectionHeaders(headers: HttpHeaders): HttpHeaders {
        val copy = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
        copy.set(headers)
        headers.getAll(HttpHeaderNames.CONNECTION).forEach { value ->
            value.split(',').forEach { copy.remove(it.trim()) }
        }
        CONNECTION_HEADERS.forEach { copy.remove(it) }
        return copy
    }

    private companion object {
        val CONNECTION_HEADERS =
            listOf(
                "Connection",
                "Keep-Alive",
                "Proxy-Connection",
                "TE",
                "Trailer",
                "Transfer-Encoding",
                "Upgrade",
                "Content-Length",
            )
    }
}
