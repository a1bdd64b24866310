package oriolespindle.core.limit

import org.junit.jupiter.api.Test
import oriolespindle.core.contract.Contract
import oriolespindle.core.contract.sampleContract
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TeamLimiterTest {
    private val team = TeamId("a")
    private val limiter = TeamLimiter()
    private var sequence = 0L

    private fun assign(
        units: Int,
        validUntil: Timestamp = Timestamp.ZERO + 1.days,
    ) {
        val all = LimitKind.entries.map { KeyUnits(LimitKey(team, it), units) }
        limiter.apply(ShareUpdate(++sequence, validUntil, all))
    }

    private fun admit(
        now: Timestamp,
        contract: Contract,
        cost: TokenCost = TokenCost.NONE,
    ): LimitDecision = limiter.admit(now, team, cost, contract)

    @Test
    fun `no more than 102 percent are admitted in any 10 s - guards against a burst on top of the sustained rate`() {
        val contract = sampleContract("a").copy(requestsPerSecond = 100.0, concurrency = 10_000)
        assign(LimitKey.TOTAL_UNITS)
        val random = SplittableRandom(11)
        val admitted = mutableListOf<Timestamp>()
        var now = Timestamp.ZERO
        while (now < Timestamp.ZERO + 60.seconds) {
            // Idle for 3 s in every 20 s, so that the limiter can accumulate its burst.
            now += if (now.nanos % 20_000_000_000 < 50_000_000) 3.seconds else random.nextLong(1, 5).milliseconds
            if (admit(now, contract) is LimitDecision.Admitted) admitted += now
        }

        val most = admitted.maxOf { from -> admitted.count { it >= from && it - from < 10.seconds } }
        println(
            "limit: contract 1000 requests in 10 s, most admitted in any 10 s $most, mean ${admitted.size / 60.0}/s",
        )
        expectThat(most).isLessThanOrEqualTo(1020)
        expectThat(admitted.size).isGreaterThanOrEqualTo((100 * (60 - 9) * 0.95).toInt())
    }

    @Test
    fun `a refused request is admitted after its retryAfter - guards against a retry that is refused again`() {
        val contract = sampleContract("a").copy(requestsPerSecond = 3.0, tokensPerSecond = 700.0, concurrency = 10_000)
        assign(LimitKey.TOTAL_UNITS)
        val random = SplittableRandom(5)
        var now = Timestamp.ZERO
        var refusals = 0
        repeat(5_000) {
            val cost = TokenCost(random.nextInt(2000), random.nextInt(1000))
            val decision = admit(now, contract, cost)
            if (decision is LimitDecision.Refused) {
                refusals++
                now += checkNotNull(decision.retryAfter)
                expectThat(admit(now, contract, cost)).isA<LimitDecision.Admitted>()
            }
            now += random.nextLong(300).milliseconds
        }
        println("limit: $refusals refusals, each admitted after its retryAfter")
        expectThat(refusals).isGreaterThanOrEqualTo(1000)
    }

    @Test
    fun `unused tokens are refunded when a request ends - guards against paying for tokens never generated`() {
        val contract = sampleContract("a").copy(requestsPerSecond = 1000.0, concurrency = 10_000)
        assign(LimitKey.TOTAL_UNITS)
        var now = Timestamp.ZERO
        var generated = 0
        while (now < Timestamp.ZERO + 30.seconds) {
            val decision = admit(now, contract, TokenCost(prompt = 10, generated = 1000))
            now += 20.milliseconds
            if (decision is LimitDecision.Admitted) {
                limiter.settle(now, decision.permit, TokenCost(prompt = 10, generated = 10))
                generated += 20
            }
        }
        println("limit: ${generated / 30} of 1000 tokens/s used with estimates 50 times too high")
        expectThat(generated / 30).isGreaterThanOrEqualTo(900)
    }

    @Test
    fun `the local concurrency is rounded down to whole slots - guards against rounding up on every instance`() {
        val contract = sampleContract("a").copy(requestsPerSecond = 1e6, tokensPerSecond = 1e6, concurrency = 10)
        assign(LimitKey.TOTAL_UNITS / 9)
        val first = admit(Timestamp.ZERO, contract)
        val second = admit(Timestamp.ZERO, contract)

        expectThat(first).isA<LimitDecision.Admitted>()
        expectThat(second).isEqualTo(LimitDecision.Refused(RefusalReason.CONCURRENCY, 200.milliseconds, true))

        limiter.settle(Timestamp.ZERO, (first as LimitDecision.Admitted).permit, TokenCost.NONE)
        expectThat(admit(Timestamp.ZERO, contract)).isA<LimitDecision.Admitted>()
    }

    @Test
    fun `nothing is admitted after the units' validity has ended - guards against units used after a pause`() {
        expectThat(admit(Timestamp.ZERO, sampleContract("a"))).isA<LimitDecision.Refused>()
        assign(LimitKey.TOTAL_UNITS, validUntil = Timestamp.ZERO + 3.seconds)
        expectThat(admit(Timestamp.ZERO + 3.seconds, sampleContract("a"))).isA<LimitDecision.Admitted>()

        val late = admit(Timestamp.ZERO + 4.seconds, sampleContract("a"))
        expectThat(late).isA<LimitDecision.Refused>().get { reason }.isEqualTo(RefusalReason.CONFIGURATION_MISSING)
    }

    @Test
    fun `a request above the whole contract is refused without a retry time - guards against endless retries`() {
        assign(LimitKey.TOTAL_UNITS)
        val decision = admit(Timestamp.ZERO, sampleContract("a"), TokenCost(10_000, 300))

        expectThat(decision).isEqualTo(LimitDecision.Refused(RefusalReason.TOO_MANY_TOKENS, null as Duration?))
    }
}
