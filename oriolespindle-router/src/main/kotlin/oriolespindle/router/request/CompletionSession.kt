package oriolespindle.router.request

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.ChainChoice
import oriolespindle.core.chain.RouteQuery
import oriolespindle.core.crash.Fingerprint
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.outcome.UnknownReason
import oriolespindle.core.stream.GapDetector
import oriolespindle.core.stream.GapVerdict
import oriolespindle.core.stream.StageCache
import oriolespindle.core.stream.StreamAssembler
import oriolespindle.core.stream.StreamEvent
import oriolespindle.core.stream.StreamResult
import oriolespindle.core.stream.StreamToken
import oriolespindle.core.time.Timestamp
import oriolespindle.router.endpoint.EngineSignal
import oriolespindle.router.http.ClientCall
import oriolespindle.router.logging.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Runs one completion from its first attempt to its final answer, resuming it after failed attempts. */
internal class CompletionSession(
    private val context: RequestContext,
    private val routes: ModelRoutes,
    private val endpoints: EndpointStates,
    private val sender: AttemptSender,
    private val recovery: StreamRecovery,
    private val caller: CallerRequest,
    private val request: CompletionRequest,
    private val query: RouteQuery,
    private val crashes: CrashCheck,
    private val onFinished: (CompletionSession) -> Unit,
) {
    val id = caller.id

    /** The number of tokens passed to the caller's response. */
    val deliveredTokens: Int get() = delivered.size
    private val assembler = StreamAssembler(caller.id)
    private val responder = CompletionResponder(caller.exchange, caller.id, request.stream)
    private val delivered = ArrayList<StreamToken>()
    private var attempt: Attempt? = null
    private var call: ClientCall? = null
    private var gapDetector: GapDetector? = null
    private var gapCheckDue = Timestamp.ZERO
    private var wasPaused = false
    private var lastTokenAt: Timestamp? = null
    private var failedAt: Timestamp? = null
    private val fingerprint = Fingerprint.of(caller.contract.team, request.model.value, request.prompt.toByteArray())
    private val gate = SuspectGate(context, crashes, fingerprint, isActive = { !isFinished })
    private var activeEndpoints: List<EndpointId>? = null
    private var isFinished = false

    fun start() {
        recovery.onAdmitted()
        gate.admit(::onQuarantined) { isolation -> chooseChain(query, isolation) }
    }

    private fun onQuarantined() {
        val message = "this request was running at the crashes of several endpoints and is not sent again"
        val outcome =
            if (attempt == null) {
                CallOutcome.NotRun(RefusalReason.QUARANTINED, message)
            } else {
                CallOutcome.Unknown(UnknownReason.STREAM_LOST, message)
            }
        fail(outcome)
    }

    /**
     * Sends the request to a chain that shares no endpoint with [isolation].
     *
     * If there is none, a request that was running at several crashes (strict isolation) waits; others use any chain.
     */
    private fun chooseChain(
        query: RouteQuery,
        isolation: Isolation,
    ) {
        val selector = routes.selector(request.model)
        if (selector == null) {
            fail(noChainOutcome(RefusalReason.UNKNOWN_MODEL, "model '${request.model.value}' has no plan"))
            return
        }
        val isolated = selector.choose(context.now(), query.copy(avoid = query.avoid + isolation.avoid))
        val isIsolated = isolated is ChainChoice.Chosen || isolation.avoid.isEmpty()
        if (!isIsolated && isolation.isStrict) {
            context.continueAfter(ISOLATION_RETRY_DELAY) { gate.admit(::onQuarantined) { chooseChain(query, it) } }
            return
        }
        val choice = if (isIsolated) isolated else selector.choose(context.now(), query)
        when (choice) {
            is ChainChoice.Chosen -> send(choice.chain, choice.chain.stages.map { StageCache.Recompute })
            is ChainChoice.Unavailable -> fail(noChainOutcome(choice.reason, "no chain of endpoints covers all layers"))
        }
    }

    fun onEngineSignal(
        number: AttemptNumber,
        signal: EngineSignal,
    ) {
        if (isFinished || number != attempt?.number) return
        when (signal) {
            is EngineSignal.Lines -> signal.events.forEach(::onStreamEvent)
            is EngineSignal.Refused -> onEngineRefusal(signal.reason)
            is EngineSignal.BadAnswer -> onAttemptFailed(RetryReason.TRUNCATED_ANSWER, headEndpoint())
            is EngineSignal.Failed -> onConnectionFailed(signal)
        }
    }

    /** Checks whether the time since the last token exceeds the limit of the gap detector. */
    fun tick(now: Timestamp) {
        val detector = gapDetector ?: return
        if (responder.isPaused != wasPaused) {
            wasPaused = responder.isPaused
            if (wasPaused) detector.pause(now) else detector.resume(now)
        }
        if (now < gapCheckDue) return
        val verdict = detector.check(now)
        gapCheckDue = detector.nextCheck(now)
        if (verdict is GapVerdict.Suspicious) onTokenGap(verdict)
    }

    /** Ends the session of a caller that has closed its connection. */
    fun onCallerGone() {
        if (!isFinished) finish()
    }

    /** Ends the session, because this instance is about to end. */
    fun onInstanceEnding() {
        if (isFinished) return
        val message = "this instance stopped before the completion had ended"
        fail(if (attempt == null) context.stopping() else CallOutcome.Unknown(UnknownReason.INSTANCE_STOPPED, message))
    }

    private fun send(
        chain: Chain,
        cache: List<StageCache>,
    ) {
        val now = context.now()
        val number = attempt?.number?.next() ?: AttemptNumber.FIRST
        val next = Attempt(id, number, chain, cache)
        val sent = sender.send(next, request, delivered)
        if (sent == null) {
            fail(noChainOutcome(RefusalReason.NO_CHAIN, "an endpoint of the chosen chain has left"))
            return
        }
        attempt = next
        call = sent
        val running = chain.stages.map { it.endpoint }
        activeEndpoints = running
        crashes.onStarted(fingerprint, running)
        assembler.startAttempt(now, number, chain, delivered.size)
        routes.selector(request.model)?.onStarted(now, id, chain, request.maxTokens - delivered.size)
        val detector = routes.gapDetector(chain)
        detector.onAttemptStarted(now)
        gapDetector = detector
        gapCheckDue = detector.nextCheck(now)
        wasPaused = false
        responder.setSource(sent)
    }

    private fun onStreamEvent(event: StreamEvent) {
        if (isFinished) return
        when (val result = assembler.handle(context.now(), event)) {
            is StreamResult.Deliver -> deliver(result.tokens)
            is StreamResult.Complete -> complete(result.tokens)
            is StreamResult.Ignored -> context.metrics.lineIgnored(result.reason.code)
            is StreamResult.Fault -> onAttemptFailed(result.reason, result.endpoint)
        }
    }

    private fun deliver(tokens: List<StreamToken>) {
        val now = context.now()
        delivered.addAll(tokens)
        gapDetector?.onToken(now)
        gapDetector?.let { gapCheckDue = it.nextCheck(now) }
        recordLatency(now)
        context.metrics.tokensDelivered(tokens.size)
        context.teamUsage.countTokens(caller.contract.team, tokens.size)
        responder.deliver(tokens)
    }

    private fun recordLatency(now: Timestamp) {
        val last = lastTokenAt
        if (last == null) {
            context.metrics.firstToken.record((now - caller.arrivedAt).toJavaDuration())
        } else {
            context.metrics.tokenGap.record((now - last).toJavaDuration())
        }
        failedAt?.let { context.metrics.recovery.record((now - it).toJavaDuration()) }
        failedAt = null
        lastTokenAt = now
    }

    private fun complete(count: Int) {
        context.countDone(caller.contract.team)
        responder.complete(count)
        call = null
        abandonAttempt(complete = true)
        finish()
    }

    private fun onTokenGap(verdict: GapVerdict.Suspicious) {
        EventLog.warn(
            "stream is silent",
            "request" to id,
            "team" to caller.contract.team,
            "attempt" to attempt?.number?.value,
            "gap" to verdict.gap,
            "limit" to verdict.limit,
        )
        gapDetector = null
        recover(RetryReason.TOKEN_GAP, endpoint = null, reached = true, saidNotRun = false)
    }

    private fun onEngineRefusal(reason: String) {
        val endpoint = headEndpoint()
        if (reason == "draining" && endpoint != null) endpoints.onDrainingRefusal(context.now(), endpoint)
        val retryReason =
            when (reason) {
                "draining" -> RetryReason.ENDPOINT_LEAVING
                "bad_chain" -> RetryReason.TRUNCATED_ANSWER
                else -> RetryReason.ENDPOINT_BUSY
            }
        onAttemptFailed(retryReason, endpoint, reached = true, saidNotRun = true, cacheRefused = reason == "bad_chain")
    }

    private fun onConnectionFailed(signal: EngineSignal.Failed) {
        val reason = if (signal.sent) RetryReason.CONNECTION_RESET else RetryReason.CONNECT_FAILED
        onAttemptFailed(reason, headEndpoint(), reached = signal.sent)
    }

    private fun headEndpoint(): EndpointId? =
        attempt
            ?.chain
            ?.stages
            ?.first()
            ?.endpoint

    /** Abandons the current attempt, then resumes after the last delivered token or sends the final answer. */
    private fun onAttemptFailed(
        reason: RetryReason,
        endpoint: EndpointId?,
        reached: Boolean = true,
        saidNotRun: Boolean = false,
        cacheRefused: Boolean = false,
    ) {
        EventLog.warn(
            "attempt failed",
            "request" to id,
            "team" to caller.contract.team,
            "endpoint" to endpoint,
            "attempt" to attempt?.number?.value,
            "reason" to reason.code,
            "delivered" to delivered.size,
        )
        val isConnectionLoss = reason == RetryReason.CONNECTION_RESET || reason == RetryReason.STAGE_LOST
        if (!isConnectionLoss || endpoint == null) {
            abandonAttempt()
            recover(reason, endpoint, reached, saidNotRun, cacheRefused)
            return
        }
        call?.cancel()
        call = null
        gapDetector = null
        val last = attempt
        crashes.onConnectionLost(endpoint) {
            if (!isFinished && attempt === last) {
                abandonAttempt()
                recover(reason, endpoint, reached, saidNotRun, cacheRefused)
            }
        }
    }

    private fun abandonAttempt(complete: Boolean = false) {
        call?.cancel()
        call = null
        gapDetector = null
        val running = activeEndpoints ?: return
        activeEndpoints = null
        crashes.onFinished(fingerprint, running, complete)
    }

    private fun recover(
        reason: RetryReason,
        endpoint: EndpointId?,
        reached: Boolean,
        saidNotRun: Boolean,
        cacheRefused: Boolean = false,
    ) {
        val last = checkNotNull(attempt) { "request $id failed before its first attempt" }
        if (failedAt == null) failedAt = lastTokenAt ?: caller.arrivedAt
        val failed =
            FailedAttempt(
                number = last.number,
                chain = last.chain,
                reason = reason,
                endpoint = endpoint,
                delivered = delivered.size,
                reached = reached,
                saidNotRun = saidNotRun,
                cacheRefused = cacheRefused,
            )
        recovery.recover(failed) { decision ->
            if (!isFinished && attempt === last) applyRecovery(last, failed, decision)
        }
    }

    private fun applyRecovery(
        last: Attempt,
        failed: FailedAttempt,
        decision: Recovery,
    ) {
        val isTokenGap = failed.reason == RetryReason.TOKEN_GAP
        if (isTokenGap && delivered.size > failed.delivered) {
            // Tokens arrived during the probe, so the attempt is still running.
            restartGapDetection(last.chain)
            return
        }
        when (decision) {
            is Recovery.Continue -> restartGapDetection(last.chain)
            is Recovery.End -> fail(decision.outcome)
            is Recovery.Resume -> resume(last, decision)
        }
    }

    private fun restartGapDetection(chain: Chain) {
        val now = context.now()
        failedAt = null
        val detector = routes.gapDetector(chain)
        detector.onToken(now)
        gapDetector = detector
        gapCheckDue = detector.nextCheck(now)
    }

    private fun resume(
        last: Attempt,
        decision: Recovery.Resume,
    ) {
        abandonAttempt()
        if (decision.delay > Duration.ZERO) {
            context.continueAfter(decision.delay) { if (attempt === last) sendResumed(decision) }
        } else {
            sendResumed(decision)
        }
    }

    /** Sends the resumed request; a crash suspect moves to a chain without other suspects if there is one. */
    private fun sendResumed(decision: Recovery.Resume) {
        val repair = decision.repair
        gate.admit(::onQuarantined) { isolation ->
            if (repair.chain.stages.none { it.endpoint in isolation.avoid }) {
                send(repair.chain, repair.cache)
            } else {
                chooseChain(query.copy(avoid = query.avoid + repair.failed), isolation)
            }
        }
    }

    /** Returns the outcome if there is no chain: not run, or unknown because an earlier attempt may have run. */
    private fun noChainOutcome(
        reason: RefusalReason,
        message: String,
    ): CallOutcome =
        if (attempt != null) {
            CallOutcome.Unknown(UnknownReason.STREAM_LOST, message)
        } else {
            CallOutcome.NotRun(reason, message, NO_CHAIN_RETRY_DELAY.takeIf { reason.retryable })
        }

    private fun fail(outcome: CallOutcome) {
        when (outcome) {
            is CallOutcome.NotRun -> context.countRefusal(caller.contract.team, outcome.reason)
            is CallOutcome.Unknown -> context.metrics.unknown(outcome.reason)
            is CallOutcome.Done -> error("a successful request has no failure")
        }
        responder.fail(outcome)
        finish()
    }

    private fun finish() {
        isFinished = true
        abandonAttempt()
        routes.selector(request.model)?.onFinished(context.now(), id)
        onFinished(this)
    }

    private companion object {
        val NO_CHAIN_RETRY_DELAY = 1.seconds

        /** Other suspects finish or crash their endpoint within a few hundred milliseconds. */
        val ISOLATION_RETRY_DELAY = 100.milliseconds
    }
}
