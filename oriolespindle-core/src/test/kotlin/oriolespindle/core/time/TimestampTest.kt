package oriolespindle.core.time

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.milliseconds

class TimestampTest {
    @Test
    fun `adding a duration and subtracting the origin gives the duration back`() {
        val later = Timestamp.ZERO + 5.milliseconds

        expectThat(later - Timestamp.ZERO).isEqualTo(5.milliseconds)
        expectThat(Timestamp.ZERO).isLessThan(later)
    }
}
