package oriolespindle.router.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryAfterTest {
    @Test
    fun `reads seconds with and without a fraction`() {
        expectThat(RetryAfter.parse("2")).isEqualTo(2.seconds)
        expectThat(RetryAfter.parse(" 0.25 ")).isEqualTo(250.milliseconds)
        expectThat(RetryAfter.parse("0")).isEqualTo(Duration.ZERO)
        expectThat(RetryAfter.parse("9".repeat(400))).isEqualTo(Duration.INFINITE)
    }

    @Test
    fun `guards against taking a value of another form for a delay`() {
        val others = listOf("", "-1", "NaN", "Infinity", "1e9", "0x10", "1f", "1,5", "Wed, 21 Oct 2026 07:28:00 GMT")
        others.forEach { expectThat(RetryAfter.parse(it)).isNull() }
    }
}
