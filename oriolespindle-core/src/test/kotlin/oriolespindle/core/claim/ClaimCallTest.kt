package oriolespindle.core.claim

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class ClaimCallTest {
    private fun run(defect: Defect): ClaimCounts {
        val counts =
            (1L..SCHEDULES).fold(ClaimCounts()) { sum, seed -> sum + ClaimWorld(seed, defect).run() }
        println("claim: $SCHEDULES schedules, $defect: $counts")
        return counts
    }

    @Test
    fun `guards against a second effect and a false not run under faults`() {
        val counts = run(Defect.NONE)

        expectThat(counts.duplicates).isEqualTo(0)
        expectThat(counts.falseNotRun).isEqualTo(0)
        expectThat(counts.falseDone).isEqualTo(0)
        expectThat(counts.answeredTwice).isEqualTo(0)
        expectThat(counts.unansweredByLive).isEqualTo(0)
        expectThat(counts.done).isGreaterThan(counts.requests / 4)
    }

    @Test
    fun `guards against schedules that would miss a duplicate effect`() {
        expectThat(run(Defect.LOST_WRITE_COUNTS_AS_LANDED).duplicates).isGreaterThan(0)
        expectThat(run(Defect.LOST_ANSWER_IS_SENT_AGAIN).duplicates).isGreaterThan(0)
        expectThat(run(Defect.CLAIM_OF_DEAD_HOLDER_IS_FREE).duplicates).isGreaterThan(0)
        expectThat(run(Defect.LOST_ANSWER_COUNTS_AS_NOT_RUN).falseNotRun).isGreaterThan(0)
    }

    @Test
    fun `guards against a lost write that blocks its key although nothing ran`() {
        val blocked = run(Defect.NONE).blockedKeys

        expectThat(run(Defect.LOST_WRITE_COUNTS_AS_REFUSED).blockedKeys).isGreaterThan(2 * blocked)
    }

    private companion object {
        const val SCHEDULES = 10_000L
    }
}
