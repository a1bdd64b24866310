package oriolespindle.core.claim

import org.junit.jupiter.api.Test
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.time.Duration.Companion.seconds

class ClaimCallTest {
    private fun run(defect: Defect): ClaimCounts {
        val counts = ClaimCounts()
        (1L..SCHEDULES).forEach { ClaimWorld(it, defect).run(counts) }
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

    @Test
    fun `guards against a call without faults costing more than two platform writes`() {
        val key = IdempotencyKey.parse("018cc251-f400-7abc-8def-0123456789ab")
        val digest = RequestDigest.of("stock", "POST", "/deduct", byteArrayOf())
        val target = ClaimObject.of(TeamId("t"), key)
        val request =
            ClaimRequest(
                RequestId("r"),
                key,
                target,
                digest,
                checkNotNull(key.time),
                Timestamp.ZERO + 1.seconds,
            )
        val call = ClaimCall(InstanceId("i"), request)
        val landed = ClaimEvent.WriteLanded(ClaimVersion(1))
        val events = listOf(ClaimEvent.Start, landed, ClaimEvent.EndpointAnswered(200, byteArrayOf()), landed)

        val actions = events.flatMap { call.handle(Timestamp.ZERO, it) }

        expectThat(actions.map { it::class.simpleName }).containsExactly("WriteClaim", "Send", "Answer", "StoreOutcome")
        expectThat(call.finished).isEqualTo(true)
    }

    private companion object {
        const val SCHEDULES = 10_000L
    }
}
