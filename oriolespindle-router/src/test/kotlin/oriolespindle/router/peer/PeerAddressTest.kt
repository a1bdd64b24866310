package oriolespindle.router.peer

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class PeerAddressTest {
    @Test
    fun `guards against a peer address that would be looked up as a name`() {
        for (text in listOf("999.1.1.1:80", "[:::]:80", "[1.2]:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:+80")) {
            expectThat(PeerAddress.parseOrNull(text)).describedAs(text).isNull()
        }
        expectThat(PeerAddress.parseOrNull("10.0.0.1:80")).isEqualTo(PeerAddress("10.0.0.1", 80))
        expectThat(PeerAddress.parseOrNull("[fd00::1]:80")).isEqualTo(PeerAddress("fd00::1", 80))
    }
}
