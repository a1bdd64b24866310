package oriolespindle.core.claim

import org.junit.jupiter.api.Test
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.outcome.UnknownReason
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ClaimCallTest {
    private val key = IdempotencyKey.parse("018cc251-f400-7abc-8def-0123456789ab")
    private val digest = RequestDigest.of("stock", "POST", "/deduct", byteArrayOf())

    private fun request(id: String) =
        ClaimRequest(
            RequestId(id),
            key,
            ClaimObject.of(TeamId("t"), key),
            digest,
            checkNotNull(key.time),
            Timestamp.ZERO + 10.seconds,
        )

    /** Returns the claim of another instance for an earlier request with the same key. */
    private fun claimOfOtherInstance(state: ClaimState): StoredClaim {
        val holder = InstanceId("other")
        val record = ClaimRecord(key.value, digest, holder, RequestId("first"), checkNotNull(key.time), state)
        return StoredClaim(ClaimVersion(if (state == ClaimState.Claimed) 1 else 2), record)
    }

    private fun retryOf(state: ClaimState): Pair<ClaimCall, List<ClaimAction>> {
        val call = ClaimCall(InstanceId("i"), request("second"))
        call.handle(Timestamp.ZERO, ClaimEvent.Start)
        return call to call.handle(Timestamp.ZERO, ClaimEvent.WriteConflict(claimOfOtherInstance(state)))
    }

    private fun outcomes(actions: List<ClaimAction>) = actions.filterIsInstance<ClaimAction.Answer>().map { it.outcome }

    private fun run(defect: Defect): ClaimCounts {
        val counts = ClaimCounts()
        (1L..SCHEDULES).forEach { ClaimSimulation(it, defect).run(counts) }
        println("claim: $SCHEDULES schedules, $defect: $counts")
        return counts
    }

    @Test
    fun `no schedule of faults causes a second effect or a false not-run answer`() {
        val counts = run(Defect.NONE)

        expectThat(counts.duplicates).isEqualTo(0)
        expectThat(counts.falseNotRun).isEqualTo(0)
        expectThat(counts.falseDone).isEqualTo(0)
        expectThat(counts.answeredTwice).isEqualTo(0)
        expectThat(counts.unansweredByLive).isEqualTo(0)
        expectThat(counts.done).isGreaterThan(counts.requests / 4)
    }

    /** Guards against a caller that is cut off, or told too much, when its instance ends before its call. */
    @Test
    fun `the end of the instance refuses a call that was not sent and leaves a sent one unknown`() {
        val claiming = ClaimCall(InstanceId("i"), request("first"))
        claiming.handle(Timestamp.ZERO, ClaimEvent.Start)
        val refused = outcomes(claiming.handle(Timestamp.ZERO, ClaimEvent.InstanceEnding)).single()
        expectThat(refused).isA<ClaimOutcome.NotRun>().get { outcome.reason }.isEqualTo(RefusalReason.STOPPING)
        val held = claiming.handle(Timestamp.ZERO, ClaimEvent.WriteApplied(ClaimVersion(1)))
        expectThat(held.single()).isA<ClaimAction.StoreOutcome>().get { value.state }.isEqualTo(ClaimState.NotRun)

        val sent = ClaimCall(InstanceId("i"), request("second"))
        sent.handle(Timestamp.ZERO, ClaimEvent.Start)
        sent.handle(Timestamp.ZERO, ClaimEvent.WriteApplied(ClaimVersion(1)))
        val ended = sent.handle(Timestamp.ZERO, ClaimEvent.InstanceEnding)
        expectThat(outcomes(ended).single())
            .isA<ClaimOutcome.Unknown>()
            .get { outcome.reason }
            .isEqualTo(UnknownReason.INSTANCE_STOPPED)
        expectThat(
            ended
                .filterIsInstance<ClaimAction.StoreOutcome>()
                .single()
                .value.state,
        ).isEqualTo(ClaimState.Unknown(UnknownReason.INSTANCE_STOPPED))
    }

    @Test
    fun `the schedules detect duplicate effects and false not-run answers`() {
        expectThat(run(Defect.LOST_WRITE_TREATED_AS_APPLIED).duplicates).isGreaterThan(0)
        expectThat(run(Defect.CALL_RESENT_AFTER_LOST_ANSWER).duplicates).isGreaterThan(0)
        expectThat(run(Defect.CLAIM_OF_DEAD_HOLDER_RELEASED).duplicates).isGreaterThan(0)
        expectThat(run(Defect.LOST_ANSWER_TREATED_AS_NOT_RUN).falseNotRun).isGreaterThan(0)
    }

    @Test
    fun `an unconfirmed write rarely blocks its key if nothing ran`() {
        val blocked = run(Defect.NONE).blockedKeys

        expectThat(run(Defect.LOST_WRITE_TREATED_AS_NOT_APPLIED).blockedKeys).isGreaterThan(2 * blocked)
    }

    @Test
    fun `a call without faults takes two platform writes`() {
        val request = request("r")
        val call = ClaimCall(InstanceId("i"), request)
        val applied = ClaimEvent.WriteApplied(ClaimVersion(1))
        val events = listOf(ClaimEvent.Start, applied, ClaimEvent.EndpointAnswered(200, byteArrayOf()), applied)

        val actions = events.flatMap { call.handle(Timestamp.ZERO, it) }

        expectThat(actions.map { it::class.simpleName }).containsExactly("WriteClaim", "Send", "Answer", "StoreOutcome")
        expectThat(call.isFinished).isEqualTo(true)
    }

    @Test
    fun `a retry that arrives just before the outcome is stored receives the outcome`() {
        val (call, first) = retryOf(ClaimState.Claimed)
        expectThat(first.map { it::class.simpleName }).containsExactly("ReadClaim")

        val done = claimOfOtherInstance(ClaimState.Done(200, null, null))
        val later = call.handle(Timestamp.ZERO + 20.milliseconds, ClaimEvent.ReadBack(done))

        expectThat(outcomes(later).single()).isA<ClaimOutcome.Answered>().get { repeated }.isTrue()
        expectThat(call.isFinished).isTrue()
    }

    @Test
    fun `a retry waits for a long call no longer than the outcome timeout`() {
        val (call, first) = retryOf(ClaimState.Claimed)
        var now = Timestamp.ZERO
        var actions = first
        while (!call.isFinished && now < Timestamp.ZERO + 10.seconds) {
            now += actions.filterIsInstance<ClaimAction.ReadClaim>().single().after
            actions = call.handle(now, ClaimEvent.ReadBack(claimOfOtherInstance(ClaimState.Claimed)))
        }

        val unknown = outcomes(actions).single() as ClaimOutcome.Unknown
        expectThat(unknown.outcome.reason).isEqualTo(UnknownReason.CLAIM_IN_PROGRESS)
        expectThat(now - Timestamp.ZERO).isLessThanOrEqualTo(ClaimSettings().outcomeTimeout)
    }

    @Test
    fun `a waiting retry is answered with unknown if the platform fails or its deadline passes`() {
        val events = listOf(ClaimEvent.ReadUnavailable, ClaimEvent.DeadlinePassed, ClaimEvent.ReadBack(null))
        for (event in events) {
            val (call, _) = retryOf(ClaimState.Claimed)

            val actions = call.handle(Timestamp.ZERO + 20.milliseconds, event)

            expectThat(outcomes(actions).single()).isA<ClaimOutcome.Unknown>()
        }
    }

    @Test
    fun `a waiting retry takes over a claim that its holder releases`() {
        val (call, _) = retryOf(ClaimState.Claimed)

        val released = ClaimEvent.ReadBack(claimOfOtherInstance(ClaimState.NotRun))
        val actions = call.handle(Timestamp.ZERO + 20.milliseconds, released)

        expectThat(actions.single()).isA<ClaimAction.WriteClaim>().get { expected }.isEqualTo(ClaimVersion(2))
    }

    private companion object {
        const val SCHEDULES = 10_000L
    }
}
