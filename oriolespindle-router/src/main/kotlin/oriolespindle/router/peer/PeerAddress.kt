package oriolespindle.router.peer

/** A numeric IP address and a port; host names are rejected because resolving them would block. */
internal data class PeerAddress(
    val host: String,
    val port: Int,
) {
    companion object {
        private val NUMERIC_HOST = Regex("""\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+]""")

        fun parseOrNull(text: String): PeerAddress? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (!NUMERIC_HOST.matches(host) || port !in 1..65_535) return null
            return PeerAddress(host.removeSurrounding("[", "]"), port)
        }
    }
}
