package oriolespindle.router.http

import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders

/** The result of [HttpClient.call]. */
public sealed interface HttpOutcome {
    /** A complete response. */
    public class Response(
        public val status: Int,
        public val body: ByteArray,
        public val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
    ) : HttpOutcome {
        public val text: String get() = body.decodeToString()
    }

    /** The response is larger than the client collects; the request may have been executed. */
    public data object TooLarge : HttpOutcome

    /** No byte of the request left this instance. */
    public data object NotSent : HttpOutcome

    /** The request was sent but has no complete response; it may have been executed, or may be executed later. */
    public data object Lost : HttpOutcome
}
