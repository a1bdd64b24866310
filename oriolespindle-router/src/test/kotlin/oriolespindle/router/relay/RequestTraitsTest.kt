package oriolespindle.router.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class RequestTraitsTest {
    // Parts after the first 32 were unknown, so that one of them under which endpoints ended was never rejected.
    @Test
    fun `parts at the end of a long prompt were not known`() {
        val ids = List(1_300) { "%x".format(it) }

        expectThat(sharedParts((ids + "own").joinToString(",") { "$it:20" })).isEqualTo(ids)
        expectThat(sharedParts("own:20")).isEmpty()
        expectThat(sharedParts(null)).isEmpty()
    }
}
