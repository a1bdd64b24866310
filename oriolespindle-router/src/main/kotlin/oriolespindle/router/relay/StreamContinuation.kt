package oriolespindle.router.relay

import io.netty.handler.codec.http.HttpHeaderNames
import oriolespindle.router.http.ClientEvent

/** Checks by their heads whether answers of later attempts continue the answer that the caller has begun to receive. */
internal class StreamContinuation {
    private var begun: ClientEvent.Head? = null

    /** Called when the caller receives [head]. */
    fun onBegun(head: ClientEvent.Head) {
        begun = head
    }

    /**
     * Whether an answer with [head] may be the caller's answer or a continuation of it.
     *
     * A page that reports an error with a success status differs from a stream in its status or media type.
     */
    fun accepts(head: ClientEvent.Head): Boolean {
        val expected = begun ?: return true
        return head.status == expected.status && mediaType(head) == mediaType(expected)
    }

    /** Whether an answer with [head] has an explicit end; without, one whose endpoint crashes seems to end, too. */
    fun hasExplicitEnd(head: ClientEvent.Head): Boolean =
        head.status == NO_CONTENT ||
            head.headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
            head.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)

    private fun mediaType(head: ClientEvent.Head): String? =
        head.headers
            .get(HttpHeaderNames.CONTENT_TYPE)
            ?.substringBefore(';')
            ?.trim()
            ?.lowercase()

    private companion object {
        const val NO_CONTENT = 204
    }
}
