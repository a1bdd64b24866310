package oriolespindle.core.lifecycle

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against work that a stopping instance begins and has to abandon. */
class WorkTimeLimitTest {
    private val limit = WorkTimeLimit(2.seconds)

    @Test
    fun `work fits if its limit is at most the time that is left`() {
        expectThat(limit.fitsInto(2.seconds)).isTrue()
        expectThat(limit.fitsInto(2.seconds - 1.milliseconds)).isFalse()
        expectThat(limit.fitsInto((-1).milliseconds)).isFalse()
    }

    @Test
    fun `any work fits into an instance that has no end`() {
        expectThat(WorkTimeLimit(Duration.INFINITE).fitsInto(null)).isTrue()
    }
}
