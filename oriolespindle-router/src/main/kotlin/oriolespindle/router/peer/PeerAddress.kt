package oriolespindle.router.peer

import oriolespindle.router.http.Address

/** A numeric IP address and a port; host names are rejected because resolving them would block. */
internal data class PeerAddress(
    val host: String,
    val port: Int,
) {
    companion object {
        fun parseOrNull(text: String): PeerAddress? =
            Address.parseOrNull(text)?.takeIf { it.port > 0 }?.let { PeerAddress(it.host, it.port) }
    }
}
