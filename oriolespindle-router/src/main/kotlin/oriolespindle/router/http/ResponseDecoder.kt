package oriolespindle.router.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses of one connection and tells whether bytes have arrived that belong to none. */
internal class ResponseDecoder : HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)) {
    /** Whether bytes wait that follow the last decoded response. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    private companion object {
        /** Responses of endpoints carry headers of their own; this bounds memory and not what they may say. */
        const val MAX_HEADER_BYTES = 65_536
    }
}
