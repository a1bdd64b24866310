package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.ServiceId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against retries beyond the budget that all instances share while processes start. */
class ServiceBudgetsRestartTest {
    private val service = ServiceId("s")
    private val settings = ServiceBudgetSettings(ratio = 0.2, burst = 310)
    private val instanceCount = 63

    private fun takeAllRetries(
        budgets: ServiceBudgets,
        at: Timestamp,
    ): Int = generateSequence { budgets.takeRetry(at, service) }.takeWhile { it }.count()

    private fun countedBudgets(startedAt: Timestamp) =
        ServiceBudgets(settings, startedAt).apply { instances = instanceCount }

    @Test
    fun `guards against using the burst before the instances are counted`() {
        val used =
            List(
                instanceCount,
            ) { ServiceBudgets(settings, startedAt = Timestamp.ZERO) }.sumOf { takeAllRetries(it, Timestamp.ZERO) }

        expectThat(used).isLessThanOrEqualTo(settings.burst)
    }

    @Test
    fun `guards against a process and its predecessor both using the whole burst`() {
        val restart = Timestamp.ZERO + 5.seconds
        val before = List(instanceCount) { countedBudgets(startedAt = Timestamp.ZERO - 1.minutes) }
        val after = List(instanceCount) { countedBudgets(startedAt = restart) }
        val used =
            before.sumOf { takeAllRetries(it, Timestamp.ZERO) } + after.sumOf { takeAllRetries(it, restart) }

        expectThat(used).isLessThanOrEqualTo(settings.burst)
    }

    @Test
    fun `guards against a share that stays small after the first window`() {
        val start = Timestamp.ZERO
        val used =
            List(instanceCount) { countedBudgets(startedAt = start) }
                .sumOf { takeAllRetries(it, start + settings.window) }

        expectThat(used).isGreaterThan(settings.burst / 2)
    }

    @Test
    fun `guards against a first window without any retry in a small fleet`() {
        val small = ServiceBudgets(settings.copy(burst = 196), startedAt = Timestamp.ZERO).apply { instances = 6 }

        expectThat(takeAllRetries(small, Timestamp.ZERO)).isGreaterThan(0)
    }
}
