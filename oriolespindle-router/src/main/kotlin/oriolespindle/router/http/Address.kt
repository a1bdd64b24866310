package oriolespindle.router.http

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
        private val numericHost = Regex("""[0-9.]+|\[[0-9a-fA-F:]+]""")
        private const val MAX_PORT = 65_535

        /** @throws IllegalArgumentException if [text] is not a numeric IP address, a colon and a port. */
        public fun parse(text: String): Address =
            requireNotNull(parseOrNull(text)) { "'$text' is not of the form IP:PORT with a numeric IP address" }

        /** Returns the address, or null if [text] is not a numeric IP address, a colon and a port. */
        public fun parseOrNull(text: String): Address? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull()
            if (!numericHost.matches(host) || port == null || port !in 0..MAX_PORT) return null
            return Address(host.removeSurrounding("[", "]"), port)
        }
    }
}
