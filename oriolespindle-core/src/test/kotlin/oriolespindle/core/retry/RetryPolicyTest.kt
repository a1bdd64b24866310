package oriolespindle.core.retry

import org.junit.jupiter.api.Test
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryPolicyTest {
    private val start = Timestamp.ZERO
    private val failure =
        AttemptFailure(
            TeamId("t"),
            ServiceId("s"),
            AttemptNumber.FIRST,
            RetryReason.CONNECT_FAILED,
            isIdempotent = true,
            reachedEndpoint = false,
            saidNotRun = false,
            earlierMayHaveRun = false,
            deadline = start + 60.seconds,
            expectedDuration = 100.milliseconds,
        )

    /** Lets two of three services fail for 30 s; returns the largest ratio of retries to requests over 10 s. */
    private fun outage(
        settings: RetrySettings,
        seconds: Int,
    ): Double {
        val random = SplittableRandom(1)
        val policy = RetryPolicy(settings) { random.nextDouble() }
        val retries = Array(3) { IntArray(seconds) }
        val requests = Array(3) { IntArray(seconds) }
        repeat(seconds * 500) { index ->
            // Some callers leave when the outage begins, which lowers the load to which the retries are compared.
            if (index / 500 in 10 until 40 && index % 8 == 0) return@repeat
            val now = start + (index * 2).milliseconds
            val service = random.nextInt(3)
            val team = TeamId("t${random.nextInt(1 + random.nextInt(10))}")
            policy.onRequestAdmitted(now, team, ServiceId("s$service"))
            requests[service][index / 500]++
            var attempt = failure.copy(team = team, service = ServiceId("s$service"), deadline = now + 5.seconds)
            while (service < 2 && index / 500 in 10 until 40 && policy.decide(now, attempt) is RetryDecision.Retry) {
                retries[service][index / 500]++
                attempt = attempt.copy(attempt = attempt.attempt.next())
            }
        }
        return (0..1).maxOf { service ->
            (0..seconds - 10).maxOf { from ->
                val window = from until from + 10
                window.sumOf { retries[service][it] }.toDouble() / window.sumOf { requests[service][it] }
            }
        }
    }

    @Test
    fun `guards against retries multiplying the load of an outage`() {
        val unbounded = outage(RetrySettings(ratio = 1.0, maxAttempts = 5), 60)
        val bounded = outage(RetrySettings(), 60)
        println(
            "retry: added load in an outage, largest over 10 s: %.4f, with a ratio of 1: %.4f".format(
                bounded,
                unbounded,
            ),
        )

        expectThat(bounded).isLessThanOrEqualTo(0.1)
        expectThat(bounded).isGreaterThan(0.05)
        expectThat(unbounded).isGreaterThan(0.5)
    }

    @Test
    fun `guards against a team with few requests never being retried`() {
        val policy = RetryPolicy()
        var retries = 0
        repeat(130) { index ->
            val now = start + (index * 20).seconds
            policy.onRequestAdmitted(now, failure.team, failure.service)
            if (policy.decide(now, failure.copy(deadline = now + 9.seconds)) is RetryDecision.Retry) retries++
        }

        expectThat(retries).isEqualTo(10)
    }

    @Test
    fun `guards against running a non-idempotent request twice and against a wrong report of not run`() {
        val random = SplittableRandom(2)
        var decisions = 0
        repeat(50_000) {
            val policy = RetryPolicy()
            repeat(random.nextInt(30)) { policy.onRequestAdmitted(start, failure.team, failure.service) }
            val case =
                failure.copy(
                    attempt = AttemptNumber(1 + random.nextInt(4)),
                    reason = RetryReason.entries[random.nextInt(RetryReason.entries.size)],
                    isIdempotent = random.nextBoolean(),
                    reachedEndpoint = random.nextBoolean(),
                    saidNotRun = random.nextBoolean(),
                    earlierMayHaveRun = random.nextBoolean(),
                    expectedDuration = random.nextInt(120_000).milliseconds,
                )
            val ran = case.earlierMayHaveRun || (case.reachedEndpoint && !case.saidNotRun)
            when (val decision = policy.decide(start, case)) {
                is RetryDecision.Retry -> {
                    decisions++
                    expectThat(ran && !case.isIdempotent).isEqualTo(false)
                    expectThat(start + decision.delay + case.expectedDuration).isLessThanOrEqualTo(case.deadline)
                }

                is RetryDecision.Answer -> {
                    val outcome = decision.outcome
                    if (outcome is CallOutcome.NotRun) expectThat(outcome.retryAfter).isNotNull()
                    if (ran) {
                        expectThat(
                            outcome,
                        ).isA<CallOutcome.Unknown>()
                    } else {
                        expectThat(outcome).isA<CallOutcome.NotRun>()
                    }
                }
            }
        }
        expectThat(decisions).isGreaterThan(1_000)
    }

    @Test
    fun `guards against an instance that has just started giving up at its first failure`() {
        val policy = RetryPolicy()
        policy.onRequestAdmitted(start, failure.team, failure.service)

        expectThat(policy.decide(start, failure)).isA<RetryDecision.Retry>()
        expectThat(policy.decide(start, failure)).isA<RetryDecision.Answer>()
    }

    @Test
    fun `guards against losing streams in progress when the loss of one stage breaks a third of them`() {
        val policy = RetryPolicy()
        repeat(STREAMS) { policy.onRequestAdmitted(start, failure.team, failure.service) }

        val resumed = failure.copy(reachedEndpoint = true, cost = 0.1)
        val decisions = (1..STREAMS / 3).map { policy.decide(start + 1.seconds, resumed) }

        expectThat(decisions.count { it is RetryDecision.Retry }).isEqualTo(STREAMS / 3)
    }

    @Test
    fun `guards against retries beyond the budget of a team's contract`() {
        val policy = RetryPolicy(teamRatio = { 0.01 })
        repeat(STREAMS) { policy.onRequestAdmitted(start, failure.team, failure.service) }

        val decisions = (1..STREAMS).map { policy.decide(start, failure) }

        expectThat(decisions.count { it is RetryDecision.Retry }).isEqualTo(1)
    }

    private companion object {
        const val STREAMS = 99
    }
}
