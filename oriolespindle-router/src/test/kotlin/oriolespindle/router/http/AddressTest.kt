package oriolespindle.router.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class AddressTest {
    @Test
    fun `reads numeric addresses`() {
        expectThat(Address.parseOrNull("10.128.0.255:8080")).isEqualTo(Address("10.128.0.255", 8080))
        expectThat(Address.parseOrNull("0.0.0.0:0")).isEqualTo(Address("0.0.0.0", 0))
        expectThat(Address.parseOrNull("[fd00::1]:65535")).isNotNull().and {
            isEqualTo(Address("fd00::1", 65_535))
            get { toSocketAddress().isUnresolved }.isEqualTo(false)
        }
    }

    @Test
    fun `guards against an address that would be looked up as a name or written to a header unchecked`() {
        val invalid =
            listOf(
                "999.1.1.1:80",
                "1.2.3:80",
                "1.2.3.4.5:80",
                "1..2.3:80",
                "256.0.0.1:80",
                "010.0.0.1:80",
                "1234:80",
                "[::1::]:80",
                "[12345::1]:80",
                "::1:80",
                "10.0.0.1:65536",
                "10.0.0.1:4294967376",
                "10.0.0.1:-1",
                "10.0.0.1:+80",
                "10.0.0.1:\u0668\u0660",
                "10.0.0.1:80\r\n",
                "10.0.0.1:",
                "10.0.0.1",
                "",
            )
        for (text in invalid) expectThat(Address.parseOrNull(text)).describedAs(text).isNull()
    }
}
