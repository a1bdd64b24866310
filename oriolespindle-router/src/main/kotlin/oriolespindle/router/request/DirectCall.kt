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

/** The result of a direct call to a plain service: an endpoint's answer or an outcome set by the router. */
internal sealed interface DirectCallResult {
    class Answered(
        val answer: ServiceResult.Answered,
    ) : DirectCallResult

    data class Failed(
        val outcome: CallOutcome,
    ) : DirectCallResult
}

/**
 * A call to a plain service without a claim, retried at other endpoints within the limits of [retries].
 *
 * A call that is not [idempotent][isIdempotent] is retried only if no earlier attempt can have run.
 */
internal class DirectCall(
    private val context: RequestContext,
    private val sender: ServiceSender,
    private val retries: RetryPolicy,
    private val caller: CallerRequest,
    private val service: ServiceId,
    private val call: ServiceCall,
    private val isIdempotent: Boolean,
    private val onFinished: (DirectCallResult) -> Unit,
) {
    private val tried = HashSet<EndpointId>()
    private var attempt = AttemptNumber.FIRST
    private var mayHaveRun = false
    private var isSending = false
    private var isFinished = false

    fun start() {
        retries.onRequestAdmitted(context.now(), caller.contract.team, service)
        send()
    }

    /** Ends the call, because this instance is about to end. */
    fun onInstanceEnding() {
        val message = "this instance stopped before the call had ended"
        val isUnknown = isSending || mayHaveRun
        finish(
            DirectCallResult.Failed(
                if (isUnknown) CallOutcome.Unknown(UnknownReason.INSTANCE_STOPPED, message) else context.stopping(),
            ),
        )
    }

    private fun finish(result: DirectCallResult) {
        if (isFinished) return
        isFinished = true
        onFinished(result)
    }

    private fun send() {
        if (isFinished) return
        val candidates = sender.candidates(context.directory.servers(service))
        val server = candidates.firstOrNull { it.id !in tried } ?: candidates.firstOrNull()
        if (server == null) {
            val message = "service '${service.value}' has no endpoint"
            finish(
                DirectCallResult.Failed(
                    CallOutcome.NotRun(RefusalReason.NO_ENDPOINT, message, NO_ENDPOINT_RETRY_DELAY),
                ),
            )
            return
        }
        tried += server.id
        val timeout = (caller.deadline - context.now()).coerceAtLeast(Duration.ZERO)
        val limits = SendLimits(timeout, freshConnection = !isIdempotent || attempt != AttemptNumber.FIRST)
        isSending = true
        sender.send(call, server, limits) { result -> onResult(server, result) }
    }

    private fun onResult(
        server: ServiceEndpoint,
        result: ServiceResult,
    ) {
        isSending = false
        if (isFinished) return
        when (result) {
            is ServiceResult.Answered -> finish(DirectCallResult.Answered(result))
            is ServiceResult.NotSent -> onAttemptFailed(RetryReason.CONNECT_FAILED, reached = false)
            is ServiceResult.NotRun -> onNotRun(result)
            is ServiceResult.Lost -> onLost(server, result)
        }
    }

    private fun onLost(
        server: ServiceEndpoint,
        result: ServiceResult.Lost,
    ) {
        if (result.timedOut) {
            context.http.closeIdle(server.address)
            val outcome = CallOutcome.Unknown(UnknownReason.DEADLINE_PASSED, "no answer came by the deadline")
            finish(DirectCallResult.Failed(outcome))
        } else {
            onAttemptFailed(RetryReason.CONNECTION_RESET, reached = true)
        }
    }

    private fun onNotRun(result: ServiceResult.NotRun) {
        onAttemptFailed(RetryReason.ENDPOINT_BUSY, reached = true, saidNotRun = true, result.retryAfterSeconds?.seconds)
    }

    private fun onAttemptFailed(
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
                isIdempotent = isIdempotent,
                reachedEndpoint = reached,
                saidNotRun = saidNotRun,
                earlierMayHaveRun = mayHaveRun,
                deadline = context.latestEnd(caller.deadline),
                expectedDuration = EXPECTED_CALL_DURATION,
                endpointRetryAfter = retryAfter,
            )
        mayHaveRun = failure.mayHaveRun
        when (val decision = retries.decide(context.now(), failure)) {
            is RetryDecision.Answer -> finish(DirectCallResult.Failed(decision.outcome))
            is RetryDecision.Retry -> retry(decision)
        }
    }

    private fun retry(decision: RetryDecision.Retry) {
        context.metrics.retried(decision.reason)
        attempt = attempt.next()
        if (decision.delay > Duration.ZERO) context.continueAfter(decision.delay, ::send) else send()
    }

    private companion object {
        /** A call is not retried if less time than this remains until its deadline. */
        val EXPECTED_CALL_DURATION = 20.milliseconds
        val NO_ENDPOINT_RETRY_DELAY = 1.seconds
    }
}
