package oriolespindle.router.request

import oriolespindle.core.limit.LimitDecision
import oriolespindle.core.limit.Permit
import oriolespindle.core.limit.ShareUpdate
import oriolespindle.core.limit.TeamLimiter
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.limit.UsageReport
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/**
 * Admits requests within this instance's shares of their teams' contract limits.
 *
 * A request is held for at most [HOLD_TIMEOUT] instead of being refused if it only lacks units that have been requested
 * from peers, or if the shares are not valid yet after a pause.
 */
internal class Admission(
    private val context: RequestContext,
) {
    private class HeldRequest(
        val caller: CallerRequest,
        val cost: TokenCost,
        val heldUntil: Timestamp,
        val onAdmitted: (Permit) -> Unit,
        val onRefused: (CallOutcome.NotRun) -> Unit,
    )

    private val limiter = TeamLimiter()
    private val held = ArrayDeque<HeldRequest>()

    /** The number of held requests. */
    val heldCount: Int get() = held.size

    fun admit(
        caller: CallerRequest,
        cost: TokenCost,
        onAdmitted: (Permit) -> Unit,
        onRefused: (CallOutcome.NotRun) -> Unit,
    ) {
        val heldUntil = minOf(caller.deadline, context.now() + HOLD_TIMEOUT)
        admitOrHold(HeldRequest(caller, cost, heldUntil, onAdmitted, onRefused))
    }

    /** Releases [permit] of an admitted request and replaces its estimated cost by [actual]. */
    fun settle(
        permit: Permit,
        actual: TokenCost,
    ) = limiter.settle(context.now(), permit, actual)

    /** Applies new shares, retries the held requests and returns the usage of the shares. */
    fun apply(update: ShareUpdate): UsageReport {
        limiter.apply(update)
        retryHeld()
        return usage()
    }

    fun usage(): UsageReport = limiter.usage(context.now())

    /** Retries the held requests; those whose hold has timed out are refused. */
    fun retryHeld() {
        repeat(held.size) { admitOrHold(held.removeFirst()) }
    }

    /** Refuses the held requests with [refusal]. */
    fun refuseHeld(refusal: CallOutcome.NotRun) {
        repeat(held.size) { held.removeFirst().onRefused(refusal) }
    }

    private fun admitOrHold(request: HeldRequest) {
        val now = context.now()
        val contract = request.caller.contract
        when (val decision = limiter.admit(now, contract.team, request.cost, contract)) {
            is LimitDecision.Admitted -> {
                request.onAdmitted(decision.permit)
            }

            is LimitDecision.Refused -> {
                if (mayHold(request, decision, now)) held.addLast(request) else refuse(request, decision)
            }
        }
    }

    private fun mayHold(
        request: HeldRequest,
        decision: LimitDecision.Refused,
        now: Timestamp,
    ): Boolean {
        val heldByTeam = held.count { it.caller.contract.team == request.caller.contract.team }
        // After a pause the shares are invalid until one read or one peer response confirms the allotment.
        val isTemporary = decision.awaitingUnits || decision.reason == RefusalReason.CONFIGURATION_MISSING
        return isTemporary && now < request.heldUntil && heldByTeam < request.caller.contract.queueLength
    }

    private fun refuse(
        request: HeldRequest,
        decision: LimitDecision.Refused,
    ) {
        val team = request.caller.contract.team
        val message =
            if (decision.awaitingUnits) {
                "this instance has not obtained more of the ${decision.reason.code} of team $team's contract yet"
            } else {
                "team $team has used its contract's ${decision.reason.code} for now"
            }
        request.onRefused(CallOutcome.NotRun(decision.reason, message, decision.retryAfter))
    }

    private companion object {
        /** Units usually arrive within 200 ms; under full skew of the load, some transfers take up to 2 s. */
        val HOLD_TIMEOUT = 2_000.milliseconds
    }
}
