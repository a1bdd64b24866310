package oriolespindle.router.request

import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.outcome.UnknownReason
import oriolespindle.core.retry.AttemptFailure
import oriolespindle.core.retry.RetryDecision
import oriolespindle.core.retry.RetryPolicy
import oriolespindle.router.directory.ServiceEndpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How a call to a plain service ended: with an endpoint's answer or with an outcome of the router. */
internal sealed interface CallEnd {
    class Answered(
        val answer: ServiceResult.Answered,
    ) : CallEnd

    data class Failed(
        val outcome: CallOutcome,
    ) : CallEnd
}

/**
 * One call that is sent directly, again at other endpoints as far as [retries] allows.
 *
 * A call that is not [idempotent] is sent again only when the attempt before certainly did not run.
 */
internal class IdempotentCall(
    private val context: RequestContext,
    private val sender: ServiceSender,
    private val retries: RetryPolicy,
    private val caller: CallerRequest,
    private val service: ServiceId,
    private val call: ServiceCall,
    private val idempotent: Boolean,
    private val end: (CallEnd) -> Unit,
) {
    private val tried = HashSet<EndpointId>()
    private var attempt = AttemptNumber.FIRST
    private var mayHaveRun = false

    fun start() {
        retries.onRequestAdmitted(context.now(), caller.contract.team, service)
        send()
    }

    private fun send() {
        val candidates = sender.candidates(context.directory.servers(service))
        val server = candidates.firstOrNull { it.id !in tried } ?: candidates.firstOrNull()
        if (server == null) {
            val message = "service '${service.value}' has no endpoint"
            end(CallEnd.Failed(CallOutcome.NotRun(RefusalReason.NO_ENDPOINT, message, NO_ENDPOINT_RETRY)))
            return
        }
        tried += server.id
        val timeout = (caller.deadline - context.now()).coerceAtLeast(Duration.ZERO)
        val limits = SendLimits(timeout, freshConnection = !idempotent || attempt != AttemptNumber.FIRST)
        sender.send(call, server, limits) { result -> ended(server, result) }
    }

    private fun ended(
        server: ServiceEndpoint,
        result: ServiceResult,
    ) {
        when (result) {
            is ServiceResult.Answered -> end(CallEnd.Answered(result))
            is ServiceResult.NotSent -> failed(RetryReason.CONNECT_FAILED, reached = false)
            is ServiceResult.NotRun -> refused(result)
            is ServiceResult.Lost -> lost(server, result)
        }
    }

    private fun lost(
        server: ServiceEndpoint,
        result: ServiceResult.Lost,
    ) {
        if (result.timedOut) {
            context.http.closeIdle(server.address)
            val outcome = CallOutcome.Unknown(UnknownReason.DEADLINE_PASSED, "no answer came by the deadline")
            end(CallEnd.Failed(outcome))
        } else {
            failed(RetryReason.CONNECTION_RESET, reached = true)
        }
    }

    private fun refused(result: ServiceResult.NotRun) {
        failed(RetryReason.ENDPOINT_BUSY, reached = true, saidNotRun = true, result.retryAfterSeconds?.seconds)
    }

    private fun failed(
        reason: RetryReason,
        reached: Boolean,
        saidNotRun: Boolean = false,
        retryAfter: Duration? = null,
    ) {
        val failure =
            AttemptFailure(
                team = caller.contract.team,
                service = service,
                attempt = attempt,
                reason = reason,
                isIdempotent = idempotent,
                reachedEndpoint = reached,
                saidNotRun = saidNotRun,
                earlierMayHaveRun = mayHaveRun,
                deadline = caller.deadline,
                expectedDuration = EXPECTED_CALL,
                endpointRetryAfter = retryAfter,
            )
        mayHaveRun = failure.mayHaveRun
        when (val decision = retries.decide(context.now(), failure)) {
            is RetryDecision.Answer -> end(CallEnd.Failed(decision.outcome))
            is RetryDecision.Retry -> retry(decision)
        }
    }

    private fun retry(decision: RetryDecision.Retry) {
        context.metrics.retried(decision.reason)
        attempt = attempt.next()
        if (decision.delay > Duration.ZERO) context.continueAfter(decision.delay, ::send) else send()
    }

    private companion object {
        /** A retry of a plain call is pointless when less than this is left of its deadline. */
        val EXPECTED_CALL = 20.milliseconds
        val NO_ENDPOINT_RETRY = 1.seconds
    }
}
