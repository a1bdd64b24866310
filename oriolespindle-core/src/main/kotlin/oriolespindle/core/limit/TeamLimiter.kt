package oriolespindle.core.limit

import oriolespindle.core.contract.Contract
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * Admits requests of teams up to this instance's share of each contract.
 *
 * The [ShareLedger] provides the share through [apply]. Nothing is admitted before the first update or after the
 * validity of the last one has ended. In any 10 s, all instances together admit at most 2% more than a contract's
 * rates; the settled cost of a request counts at the time of its admission.
 */
public class TeamLimiter(
    private val settings: LimiterSettings = LimiterSettings(),
) {
    private val teams = mutableMapOf<TeamId, TeamState>()
    private var sequence = 0L
    private var validUntil: Timestamp? = null

    /** Decides whether a request of [team] with the estimated [cost] may start now. */
    public fun admit(
        now: Timestamp,
        team: TeamId,
        cost: TokenCost,
        contract: Contract,
    ): LimitDecision {
        val valid = validUntil
        if (valid == null || now > valid) {
            return LimitDecision.Refused(RefusalReason.CONFIGURATION_MISSING, settings.transferRetryDelay)
        }
        val state = state(team)
        if (!state.slots.tryAcquire(now, contract.concurrency)) {
            val awaiting = state.slots.lacksUnits()
            val retryAfter = if (awaiting) settings.transferRetryDelay else state.slots.retryAfter()
            return LimitDecision.Refused(RefusalReason.CONCURRENCY, retryAfter, awaiting)
        }
        val refusal = rateRefusal(now, state, cost, contract)
        if (refusal != null) {
            state.slots.undoAcquire()
            return refusal
        }
        state.requests.consume(now, 1)
        state.tokens.consume(now, cost.total)
        return LimitDecision.Admitted(Permit(team, cost, now))
    }

    /**
     * Ends the request that [permit] admitted: releases its slot and replaces the tokens charged for it by the [actual]
     * ones.
     *
     * @throws IllegalStateException if the permit is already settled.
     */
    public fun settle(
        now: Timestamp,
        permit: Permit,
        actual: TokenCost,
    ) {
        check(!permit.isSettled) { "permit of team ${permit.team} is already settled" }
        permit.isSettled = true
        val state = state(permit.team)
        state.slots.release(now, permit.admittedAt)
        state.tokens.settle(now, permit.admittedAt, permit.cost.total, actual.total)
    }

    /** Sets the units that may be used from now on. An update older than the last one is ignored. */
    public fun apply(update: ShareUpdate) {
        if (update.sequence < sequence) return
        sequence = update.sequence
        validUntil = update.validUntil
        for ((key, units) in update.units) {
            val state = state(key.team)
            when (key.kind) {
                LimitKind.REQUESTS -> state.requests.assign(units)
                LimitKind.TOKENS -> state.tokens.assign(units)
                LimitKind.CONCURRENCY -> state.slots.units = units
            }
        }
    }

    /**
     * Returns the usage to report to the ledger.
     *
     * It should be reported after every update that lowers units and at least every 100 ms.
     */
    public fun usage(now: Timestamp): UsageReport {
        val usages = mutableListOf<KeyUsage>()
        for ((team, state) in teams) {
            state.requests.usage(now, LimitKey(team, LimitKind.REQUESTS))?.let(usages::add)
            state.tokens.usage(now, LimitKey(team, LimitKind.TOKENS))?.let(usages::add)
            state.slots.usage(now, LimitKey(team, LimitKind.CONCURRENCY))?.let(usages::add)
        }
        return UsageReport(sequence, usages)
    }

    /**
     * Returns the refusal with the longer wait, so that a retry after it meets neither limit, or null if both limits
     * allow the request.
     */
    private fun rateRefusal(
        now: Timestamp,
        state: TeamState,
        cost: TokenCost,
        contract: Contract,
    ): LimitDecision.Refused? {
        state.requests.onOffered(now, 1, contract.requestsPerSecond)
        state.tokens.onOffered(now, cost.total, contract.tokensPerSecond)
        if (!state.tokens.canEverAdmit(cost.total)) {
            return LimitDecision.Refused(RefusalReason.TOO_MANY_TOKENS, retryAfter = null)
        }
        val requestWait = state.requests.timeUntilAdmission(now, 1)
        val tokenWait = state.tokens.timeUntilAdmission(now, cost.total)
        val wait = maxOf(requestWait, tokenWait)
        if (wait <= Duration.ZERO) return null
        val reason = if (requestWait >= tokenWait) RefusalReason.REQUEST_RATE else RefusalReason.TOKEN_RATE
        val awaiting = state.requests.lacksUnits(1) || state.tokens.lacksUnits(cost.total)
        return LimitDecision.Refused(reason, wait, awaiting)
    }

    private fun state(team: TeamId): TeamState = teams.getOrPut(team) { TeamState(settings) }

    private class TeamState(
        settings: LimiterSettings,
    ) {
        val requests = RateLimit(settings)
        val tokens = RateLimit(settings)
        val slots = SlotLimit(settings)
    }
}
