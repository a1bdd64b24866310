package oriolespindle.core.claim

import org.junit.jupiter.api.Test
import oriolespindle.core.outcome.RefusalReason
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class KeyRulesTest {
    private val text = "018CC251-F400-7ABC-8def-0123456789ab"
    private val created = Instant.parse("2024-01-01T00:00:00Z")
    private val rules = KeyRules()

    private fun refusal(decision: KeyDecision) = (decision as? KeyDecision.Refused)?.outcome?.reason

    @Test
    fun `UUIDs that differ only in case and quotes are the same key`() {
        expectThat(IdempotencyKey.parse(text)).isEqualTo(IdempotencyKey.parse("\"${text.lowercase()}\""))
        expectThat(IdempotencyKey.parse(text).time).isEqualTo(created)
        expectThat(IdempotencyKey.parseOrNull("two words")).isNull()
        expectThat(IdempotencyKey.parseOrNull("k".repeat(IdempotencyKey.MAX_LENGTH + 1))).isNull()
    }

    @Test
    fun `a key is refused before its claim may be pruned`() {
        val key = IdempotencyKey.parse(text)

        expectThat(rules.check(text, created + 24.hours)).isA<KeyDecision.Claim>()
        expectThat(refusal(rules.check(text, created + 24.hours + 1.seconds))).isEqualTo(RefusalReason.KEY_EXPIRED)
        expectThat(rules.isPrunable(key, created + 25.hours)).isEqualTo(false)
        expectThat(rules.isPrunable(key, created + 25.hours + 1.seconds)).isEqualTo(true)
        expectThat(rules.isPrunable(IdempotencyKey.parse("order-7"), created + 9000.hours)).isEqualTo(false)
    }

    @Test
    fun `a key from too far in the future is refused`() {
        expectThat(rules.check(text, created - 5.minutes)).isA<KeyDecision.Claim>()
        expectThat(refusal(rules.check(text, created - 6.minutes))).isEqualTo(RefusalReason.KEY_INVALID)
    }

    @Test
    fun `keys without a time and calls without a key are refused unless allowed`() {
        expectThat(refusal(rules.check("order-7", created))).isEqualTo(RefusalReason.KEY_INVALID)
        expectThat(rules.copy(allowKeysWithoutTime = true).check("order-7", created)).isA<KeyDecision.Claim>()
        expectThat(refusal(rules.check(null, created))).isEqualTo(RefusalReason.KEY_REQUIRED)
        expectThat(rules.copy(allowCallsWithoutKey = true).check(null, created)).isEqualTo(KeyDecision.SendOnce)
    }

    @Test
    fun `claims are deleted only after their keys are refused and at a limited rate`() {
        val pruner = ClaimPruner(rules)
        val claim = PrunableClaim(ClaimObject("c"), ClaimVersion(1))
        repeat(100) { pruner.add(IdempotencyKey.parse(text), claim) }
        pruner.add(IdempotencyKey.parse("order-7"), claim)

        expectThat(pruner.due(created).size).isEqualTo(0)
        expectThat(pruner.due(created + 25.hours).size).isEqualTo(0)
        expectThat(pruner.due(created + 25.hours + 1.seconds).size).isEqualTo(20)
        expectThat(pruner.due(created + 25.hours + 6.seconds).size).isEqualTo(10)
        expectThat(pruner.size).isEqualTo(70)
    }
}
