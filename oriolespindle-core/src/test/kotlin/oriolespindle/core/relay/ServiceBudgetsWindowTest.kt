package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.ServiceId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServiceBudgetsWindowTest {
    private val service = ServiceId("s")
    private val settings = ServiceBudgetSettings(ratio = 0.2, burst = 100)
    private val start = Timestamp.ZERO + 60.seconds

    private fun takeAllRetries(
        budgets: ServiceBudgets,
        at: Timestamp,
    ): Int = generateSequence { budgets.takeRetry(at, service) }.takeWhile { it }.count()

    private fun budgets() = ServiceBudgets(settings, startedAt = Timestamp.ZERO).apply { instances = 1 }

    @Test
    fun `guards against a retry that is forgotten before its window has passed`() {
        val used =
            (0..<1_000 step 50).map { offset ->
                val first = start + offset.milliseconds
                val budgets = budgets()
                takeAllRetries(budgets, first) + takeAllRetries(budgets, first + settings.window - 10.milliseconds)
            }

        expectThat(used).all { isLessThanOrEqualTo(settings.burst) }
    }

    @Test
    fun `guards against requests that count for longer than the window`() {
        val retries =
            (0..<1_000 step 50).map { offset ->
                val first = start + offset.milliseconds
                val budgets = budgets()
                repeat(1_000) { budgets.onRequest(first, service) }
                takeAllRetries(budgets, first + settings.window)
            }

        expectThat(retries.distinct().size).isEqualTo(1)
    }

    @Test
    fun `guards against a budget that is not restored`() {
        val budgets = budgets()
        val first = takeAllRetries(budgets, start)

        expectThat(first).isGreaterThan(0)
        expectThat(takeAllRetries(budgets, start + settings.window * 1.1)).isEqualTo(first)
    }
}
