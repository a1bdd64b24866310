package oriolespindle.router.http

import io.netty.util.NetUtil
import java.net.InetSocketAddress

/** A numeric IP address and a port, as in `127.0.0.1:8080`. */
public data class Address(
    public val host: String,
    public val port: Int,
) {
    /** Returns the socket address; a numeric host needs no name lookup. */
    public fun toSocketAddress(): InetSocketAddress = InetSocketAddress(host, port)

    override fun toString(): String = "$host:$port"

    public companion object {
        private const val OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
        private val ipv4Host = Regex("""$OCTET(\.$OCTET){3}""")
        private val portDigits = Regex("[0-9]{1,5}")
        private const val MAX_PORT = 65_535

        /** @throws IllegalArgumentException if [text] is not a numeric IP address, a colon and a port. */
        public fun parse(text: String): Address =
            requireNotNull(parseOrNull(text)) { "'$text' is not of the form IP:PORT with a numeric IP address" }

        /** Returns the address, or null if [text] is not a numeric IP address, a colon and a port. */
        public fun parseOrNull(text: String): Address? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').takeIf(portDigits::matches)?.toInt() ?: return null
            if (!isNumeric(host) || port > MAX_PORT) return null
            return Address(host.removeSurrounding("[", "]"), port)
        }

        /** A host that only looks numeric would be looked up by its name, which blocks the event loop. */
        private fun isNumeric(host: String): Boolean {
            val isBracketed = host.startsWith('[') && host.endsWith(']')
            return if (isBracketed) NetUtil.isValidIpV6Address(host) else ipv4Host.matches(host)
        }
    }
}
