package oriolespindle.router.request

import oriolespindle.core.fairness.DemandReport
import oriolespindle.core.fairness.DemandShare
import oriolespindle.core.fairness.FairEntry
import oriolespindle.core.fairness.FairQueue
import oriolespindle.core.fairness.OfferResult
import oriolespindle.core.fairness.PollResult
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** A completion in the fair queue of its model. */
internal class WaitingCompletion(
    val caller: CallerRequest,
    val request: CompletionRequest,
    val start: () -> Unit,
    val onRefused: (CallOutcome.NotRun) -> Unit,
) {
    val cost: TokenCost = TokenCost(request.promptTokens, request.maxTokens)
}

/**
 * Starts completions in the order of weighted fair queueing between teams.
 *
 * The engines of a model can run a limited number of concurrent sessions with 35 ms between tokens. This instance uses
 * the part of them that corresponds to its part of the fleet's demand; its other requests wait in the fair queue.
 */
internal class FairScheduler(
    private val context: RequestContext,
    private val routes: ModelRoutes,
) {
    private class ModelQueue {
        val queue = FairQueue<WaitingCompletion>()
        var runningSessions = 0
        var maxSessions = 1

        /** Prevents reentry: a session that ends while it is being started frees a slot that the running loop fills. */
        var isFilling = false
    }

    private val models = HashMap<ModelId, ModelQueue>()
    private val demand = DemandShare(context.instance)

    /** The number of queued completions. */
    val waitingCount: Int get() = models.values.sumOf { it.queue.size }

    /** Starts or queues [waiting], or refuses it if its queue is full or its deadline unreachable. */
    fun offer(waiting: WaitingCompletion) {
        val now = context.now()
        val contract = waiting.caller.contract
        val model = models.getOrPut(waiting.request.model) { newQueue(now, waiting.request.model) }
        demand.onOffered(now, contract.team, model.queue.expectedTokens(contract.team, waiting.cost))
        val entry = FairEntry(contract.team, waiting.cost, waiting.caller.deadline, contract.queueLength, waiting)
        when (val result = model.queue.offer(now, entry)) {
            is OfferResult.Queued -> startWaiting(now, model)
            is OfferResult.Refused -> waiting.onRefused(refusal(result.reason, result.retryAfter))
        }
    }

    /** Frees the slot of a completion that has ended and starts waiting ones. */
    fun onFinished(
        request: CompletionRequest,
        team: TeamId,
        actual: TokenCost,
    ) {
        val now = context.now()
        val model = models[request.model] ?: return
        model.runningSessions--
        model.queue.settle(now, team, TokenCost(request.promptTokens, request.maxTokens), actual)
        startWaiting(now, model)
    }

    /** Refuses completions that can no longer meet their deadline, and starts waiting ones in free slots. */
    fun tick(now: Timestamp) {
        for (model in models.values.toList()) {
            model.queue.expire(now).forEach { expired ->
                expired.entry.payload.onRefused(refusal(RefusalReason.DEADLINE_UNREACHABLE, expired.retryAfter))
            }
            startWaiting(now, model)
        }
    }

    /** Refuses all queued completions with [refusal]. */
    fun refuseWaiting(refusal: CallOutcome.NotRun) {
        val now = context.now()
        for (model in models.values.toList()) {
            model.queue.expire(now).forEach { it.entry.payload.onRefused(refusal) }
            generateSequence { model.queue.poll(now) as? PollResult.Start }
                .forEach { it.entry.payload.onRefused(refusal) }
        }
    }

    /** Records the demand at another instance. */
    fun onDemandReport(
        from: InstanceId,
        report: DemandReport,
    ) = demand.onReport(context.now(), from, report)

    /** Adapts weights and session limits to the fleet's demand; returns the local demand for other instances. */
    fun adaptToDemand(now: Timestamp): DemandReport {
        val waitingTokens = HashMap<TeamId, Double>()
        for (model in models.values) {
            model.queue.waitingTokens().forEach { (team, tokens) -> waitingTokens.merge(team, tokens, Double::plus) }
        }
        val report = demand.report(now, waitingTokens)
        val weights = context.contracts.contracts().associate { it.team to it.weight }
        val fleetWeights = demand.weights(now, weights)
        for ((id, model) in models) {
            model.queue.setWeights(now, fleetWeights)
            model.maxSessions = maxSessions(now, id, weights)
        }
        return report
    }

    private fun newQueue(
        now: Timestamp,
        model: ModelId,
    ): ModelQueue {
        val weights = context.contracts.contracts().associate { it.team to it.weight }
        val queue = ModelQueue()
        queue.queue.setWeights(now, weights)
        queue.maxSessions = maxSessions(now, model, weights)
        return queue
    }

    private fun maxSessions(
        now: Timestamp,
        model: ModelId,
        weights: Map<TeamId, Double>,
    ): Int {
        val bound = routes.plan(model)?.bound ?: return 1
        val fleetSessions = bound * MAX_TOKEN_INTERVAL.toDouble(DurationUnit.SECONDS)
        return (fleetSessions * demand.capacityPart(now, weights, bound)).toInt().coerceAtLeast(1)
    }

    private fun startWaiting(
        now: Timestamp,
        model: ModelQueue,
    ) {
        if (model.isFilling) return
        model.isFilling = true
        fillFreeSlots(now, model)
        model.isFilling = false
    }

    private fun fillFreeSlots(
        now: Timestamp,
        model: ModelQueue,
    ) {
        while (model.runningSessions < model.maxSessions) {
            when (val next = model.queue.poll(now)) {
                is PollResult.Empty -> {
                    return
                }

                is PollResult.Start -> {
                    model.runningSessions++
                    next.entry.payload.start()
                }
            }
        }
    }

    private fun refusal(
        reason: RefusalReason,
        retryAfter: Duration,
    ) = CallOutcome.NotRun(reason, "the request cannot start by its deadline or its team's queue is full", retryAfter)

    private companion object {
        /** The time between two tokens that 95 of 100 requests must meet; more concurrent sessions would exceed it. */
        val MAX_TOKEN_INTERVAL = 35.milliseconds
    }
}
