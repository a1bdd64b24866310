package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class AttemptPolicyTest {
    private val start = Timestamp.ZERO
    private val service = ServiceId("s")
    private val budgets = budgets(ServiceBudgetSettings(ratio = 0.0, burst = 1_000), instanceCount = 1)
    private val policy = AttemptPolicy(budgets)

    /** Returns the budgets of a process whose first window has ended. */
    private fun budgets(
        settings: ServiceBudgetSettings,
        instanceCount: Int,
    ) = ServiceBudgets(settings, startedAt = start - 1.minutes).apply { instances = instanceCount }

    private fun route(
        kind: RouteKind,
        isResumable: Boolean = false,
        maxAttempts: Int = 2,
    ) = Route(
        name = "r",
        host = "h",
        pathPrefix = "/",
        kind = kind,
        targets = listOf(RouteTarget(service)),
        timeout = 10.seconds,
        objective = 1.seconds,
        maxAttempts = maxAttempts,
        isResumable = isResumable,
    )

    private fun decide(
        route: Route,
        vararg ends: AttemptEnd,
        left: kotlin.time.Duration = 1.seconds,
    ): AttemptDecision {
        val history = AttemptHistory()
        ends.forEachIndexed { index, end -> history.onAttemptEnded(end, EndpointId("e$index")) }
        return policy.decide(start, route, service, history, ends.last(), start + left)
    }

    @Test
    fun `guards against retrying a non-idempotent request that may have run`() {
        val route = route(RouteKind.NON_IDEMPOTENT, maxAttempts = 5)

        expectThat(decide(route, AttemptEnd.Unknown)).isEqualTo(AttemptDecision.Fail)
        expectThat(decide(route, AttemptEnd.Failed)).isEqualTo(AttemptDecision.Deliver)
        expectThat(decide(route(RouteKind.STREAM), AttemptEnd.Unknown)).isEqualTo(AttemptDecision.Fail)
    }

    @Test
    fun `guards against reporting a request as not run after an attempt that may have run`() {
        val route = route(RouteKind.IDEMPOTENT, maxAttempts = 2)

        expectThat(decide(route, AttemptEnd.Unknown, AttemptEnd.NotRun)).isEqualTo(AttemptDecision.Fail)
        expectThat(decide(route, AttemptEnd.NotRun, AttemptEnd.NotRun)).isA<AttemptDecision.Refuse>()
    }

    @Test
    fun `guards against giving up a request that certainly did not run`() {
        val route = route(RouteKind.NON_IDEMPOTENT, maxAttempts = 1)

        expectThat(decide(route, AttemptEnd.NotSent)).isEqualTo(AttemptDecision.Retry)
        expectThat(decide(route(RouteKind.NON_IDEMPOTENT), AttemptEnd.NotRun)).isEqualTo(AttemptDecision.Retry)
    }

    @Test
    fun `guards against more attempts than the route allows and attempts after the caller's deadline`() {
        val route = route(RouteKind.IDEMPOTENT, maxAttempts = 2)

        expectThat(decide(route, AttemptEnd.Unknown)).isEqualTo(AttemptDecision.Retry)
        expectThat(decide(route, AttemptEnd.Unknown, AttemptEnd.Unknown)).isEqualTo(AttemptDecision.Fail)
        expectThat(decide(route, AttemptEnd.Unknown, left = 10.milliseconds)).isEqualTo(AttemptDecision.Fail)
    }

    @Test
    fun `guards against counting a refusal as an attempt, and against more receivers than attempts`() {
        val route = route(RouteKind.STREAM, isResumable = true, maxAttempts = 2)
        val history = AttemptHistory()
        history.onAttemptEnded(AttemptEnd.NotRun, EndpointId("e1"))
        history.onAttemptEnded(AttemptEnd.Unknown, EndpointId("e2"))
        val decision =
            policy.decide(start, route, service, history, AttemptEnd.Unknown, start + 1.seconds, canResend = true)

        expectThat(decision).isEqualTo(AttemptDecision.Retry)
        expectThat(history.mayReceive(EndpointId("e1"), maxReceivers = 2)).isTrue()
        expectThat(history.mayReceive(EndpointId("e3"), maxReceivers = 2)).isFalse()
    }

    @Test
    fun `guards against trying paths without limit`() {
        val route = route(RouteKind.STREAM, isResumable = true)
        val history = AttemptHistory()
        repeat(4) { history.onAttemptEnded(AttemptEnd.NotRun, EndpointId("e1")) }
        val decision =
            policy.decide(start, route, service, history, AttemptEnd.NotRun, start + 1.seconds, canResend = true)

        expectThat(decision).isA<AttemptDecision.Refuse>()
    }

    @Test
    fun `guards against ending a resumable stream after its first run fails`() {
        val route = route(RouteKind.STREAM, isResumable = true)

        expectThat(decide(route, AttemptEnd.Unknown)).isEqualTo(AttemptDecision.Retry)
    }

    @Test
    fun `keeps a slow attempt that nothing may replace`() {
        val route = route(RouteKind.STREAM, isResumable = true)
        val expiry = start + 1.seconds
        val mayReplace = { policy: AttemptPolicy, route: Route, history: AttemptHistory ->
            policy.mayReplace(start, route, service, history, expiry)
        }
        expectThat(mayReplace(policy, route, AttemptHistory())).isTrue()

        val withoutBudget = AttemptPolicy(budgets(ServiceBudgetSettings(ratio = 0.0, burst = 0), instanceCount = 1))
        expectThat(mayReplace(withoutBudget, route, AttemptHistory())).isFalse()
        expectThat(mayReplace(policy, route(RouteKind.STREAM), AttemptHistory())).isFalse()

        val hasRun = AttemptHistory().apply { onAttemptEnded(AttemptEnd.Unknown, EndpointId("e1")) }
        expectThat(mayReplace(policy, route, hasRun)).isFalse()
    }

    @Test
    fun `waits with a begun answer that is refused, and spends one retry for each attempt that is sent`() {
        val settings = ServiceBudgetSettings(ratio = 0.0, burst = 2)
        val policy = AttemptPolicy(budgets(settings, instanceCount = 1))
        val route = route(RouteKind.STREAM, isResumable = true)
        val expiry = start + 1.seconds
        val history = AttemptHistory()
        val afterRefusal = {
            policy.decide(
                start,
                route,
                service,
                history,
                AttemptEnd.NotRun,
                expiry,
                canResend = true,
                answerBegun = true,
            )
        }
        history.onAttemptEnded(AttemptEnd.Unknown, EndpointId("e1"))
        expectThat(policy.decide(start, route, service, history, AttemptEnd.Unknown, expiry))
            .isEqualTo(AttemptDecision.Retry)
        history.onAttemptEnded(AttemptEnd.NotRun, EndpointId("e2"))

        expectThat(afterRefusal()).isEqualTo(AttemptDecision.RetryLater(100.milliseconds))
        // 80% of a burst of 2 is one retry, which is spent.
        expectThat(policy.decideResumption(start, service, history, expiry))
            .isEqualTo(AttemptDecision.RetryLater(200.milliseconds))
        expectThat(policy.decideResumption(start + 11.seconds, service, history, expiry + 11.seconds))
            .isEqualTo(AttemptDecision.Retry)
        expectThat(policy.decideResumption(expiry, service, history, expiry)).isEqualTo(AttemptDecision.Fail)
    }

    @Test
    fun `guards against instances that together retry more than the shared budget`() {
        val settings = ServiceBudgetSettings(ratio = 0.2, burst = 100, window = 10.seconds)
        val instances = List(9) { budgets(settings, instanceCount = 9) }
        instances.forEach { budget -> repeat(50) { budget.onRequest(start, service) } }
        val taken = instances.sumOf { budget -> (1..200).count { budget.takeRetry(start + 1.seconds, service) } }

        expectThat(taken <= 0.2 * 450 + 100).isTrue()
        expectThat(taken >= 0.7 * (0.2 * 450 + 100)).isTrue()
    }

    @Test
    fun `guards against a retry budget that does not recover`() {
        val budget = budgets(ServiceBudgetSettings(ratio = 0.0, burst = 10), instanceCount = 1)
        repeat(8) { expectThat(budget.takeRetry(start, service)).isTrue() }

        expectThat(budget.takeRetry(start + 9.seconds, service)).isFalse()
        expectThat(budget.takeRetry(start + 11.seconds, service)).isTrue()
    }
}
