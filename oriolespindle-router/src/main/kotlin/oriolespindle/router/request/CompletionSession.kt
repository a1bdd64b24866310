package oriolespindle.router.request

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.ChainChoice
import oriolespindle.core.chain.PrefixHash
import oriolespindle.core.chain.RouteQuery
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
import oriolespindle.core.stream.StreamAssembler
import oriolespindle.core.stream.StreamEvent
import oriolespindle.core.stream.StreamResult
import oriolespindle.core.stream.StreamToken
import oriolespindle.router.endpoint.EngineSignal
import oriolespindle.router.endpoint.EngineStream
import oriolespindle.router.endpoint.PipelineRequest
import oriolespindle.router.endpoint.PipelineStage
import oriolespindle.router.http.Address
import oriolespindle.router.http.ClientCall
import oriolespindle.router.http.ClientRequest
import oriolespindle.router.logging.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One completion from its first attempt to its final answer. */
internal class CompletionSession(
    private val context: RequestContext,
    private val routes: ModelRoutes,
    private val endpoints: EndpointStates,
    private val retries: RetryPolicy,
    private val caller: CallerRequest,
    private val request: CompletionRequest,
    private val onFinished: (CompletionSession) -> Unit,
) {
    val id = caller.id
    private val assembler = StreamAssembler(caller.id)
    private val responder = CompletionResponder(caller.exchange, caller.id, request.stream)
    private val delivered = ArrayList<StreamToken>()
    private var attempt = AttemptNumber(0)
    private var call: ClientCall? = null
    private val avoid = HashSet<EndpointId>()
    private val budgetName = ServiceId(request.model.value)
    private var current: Chain? = null
    private var expected = Duration.ZERO
    private var mayHaveRun = false
    private var finished = false

    fun start() {
        retries.admitted(context.now(), caller.contract.team, budgetName)
        tryNext()
    }

    fun engine(
        number: AttemptNumber,
        signal: EngineSignal,
    ) {
        if (finished || number != attempt) return
        when (signal) {
            is EngineSignal.Lines -> signal.events.forEach(::stream)
            is EngineSignal.Refused -> refusedByEngine(signal.reason)
            is EngineSignal.BadAnswer -> failed(RetryReason.TRUNCATED_ANSWER, headEndpoint())
            is EngineSignal.Failed -> connectionFailed(signal)
        }
    }

    /** Ends the work for a caller that has closed its connection. */
    fun callerGone() {
        if (!finished) finish()
    }

    private fun tryNext() {
        when (val choice = choose()) {
            is ChainChoice.Chosen -> send(choice)
            is ChainChoice.Unavailable -> end(noChain(choice.reason, "no chain of endpoints covers all layers"))
            null -> end(noChain(RefusalReason.UNKNOWN_MODEL, "model '${request.model.value}' has no plan"))
        }
    }

    private fun choose(): ChainChoice? {
        val query =
            RouteQuery(
                request = id,
                model = request.model,
                prefix =
                    PrefixHash(
                        request.prompt
                            .take(PREFIX_CHARS)
                            .hashCode()
                            .toLong(),
                    ),
                promptTokens = request.promptTokens,
                maxTokens = request.maxTokens,
                priority = request.priority,
                zone = context.zone,
                avoid = avoid,
            )
        return routes.selector(request.model)?.choose(context.now(), query)
    }

    /** The outcome without a chain: once an attempt may have run, the request cannot be reported as not run. */
    private fun noChain(
        reason: RefusalReason,
        message: String,
    ): CallOutcome =
        if (mayHaveRun) {
            CallOutcome.Unknown(UnknownReason.STREAM_LOST, message)
        } else {
            CallOutcome.NotRun(reason, message, NO_CHAIN_RETRY.takeIf { reason.retryable })
        }

    private fun send(choice: ChainChoice.Chosen) {
        val chain = choice.chain
        val number = attempt.next()
        val stages = chain.stages.map { stage -> stage to context.directory.engine(stage.endpoint) }
        if (stages.any { it.second == null }) {
            end(noChain(RefusalReason.NO_CHAIN, "an endpoint of the chosen chain has left"))
            return
        }
        attempt = number
        current = chain
        expected = choice.expectedCompletion
        assembler.attempt(context.now(), number, chain, delivered.size)
        routes.selector(request.model)?.started(context.now(), id, chain, request.maxTokens)
        val body =
            PipelineRequest(
                request = id.value,
                attempt = number.value,
                model = request.model.value,
                prompt = request.prompt,
                maxTokens = request.maxTokens,
                priority = request.priority,
                from = delivered.size,
                prefix = delivered.map { it.text },
                stages =
                    stages.map { (stage, spec) ->
                        PipelineStage(stage.endpoint.value, spec!!.address, stage.layers.first, stage.layers.end)
                    },
            )
        val stream = EngineStream(id, number) { context.offer(RequestMessage.Engine(id, number, it)) }
        val http =
            ClientRequest(
                address = Address.parse(body.stages.first().address),
                method = "POST",
                uri = "/v1/pipeline",
                body = EngineStream.json.encodeToString(PipelineRequest.serializer(), body).toByteArray(),
            )
        val sent = context.http.send(http, timeout = null, listener = stream::handle)
        call = sent
        responder.fedBy(sent)
    }

    private fun stream(event: StreamEvent) {
        if (finished) return
        when (val result = assembler.handle(context.now(), event)) {
            is StreamResult.Deliver -> deliver(result.tokens)
            is StreamResult.Complete -> complete(result.tokens)
            is StreamResult.Ignored -> context.metrics.lineIgnored(result.why.code)
            is StreamResult.Fault -> failed(result.reason, result.endpoint)
        }
    }

    private fun deliver(tokens: List<StreamToken>) {
        delivered.addAll(tokens)
        context.metrics.tokensDelivered(tokens.size)
        responder.tokens(tokens)
    }

    private fun complete(count: Int) {
        context.metrics.done()
        responder.complete(count)
        call = null
        finish()
    }

    private fun refusedByEngine(reason: String) {
        val endpoint = headEndpoint()
        if (reason == "draining" && endpoint != null) endpoints.refusedAsDraining(context.now(), endpoint)
        val why = if (reason == "draining") RetryReason.ENDPOINT_LEAVING else RetryReason.ENDPOINT_BUSY
        failed(why, endpoint, reached = true, saidNotRun = true)
    }

    private fun connectionFailed(signal: EngineSignal.Failed) {
        val reason = if (signal.sent) RetryReason.CONNECTION_RESET else RetryReason.CONNECT_FAILED
        failed(reason, headEndpoint(), reached = signal.sent)
    }

    private fun headEndpoint(): EndpointId? = current?.stages?.first()?.endpoint

    /** Ends the current attempt and starts another one from the last delivered token, or gives the final answer. */
    private fun failed(
        reason: RetryReason,
        endpoint: EndpointId?,
        reached: Boolean = true,
        saidNotRun: Boolean = false,
    ) {
        call?.cancel()
        call = null
        endpoint?.let { avoid += it }
        val failure =
            AttemptFailure(
                team = caller.contract.team,
                service = budgetName,
                attempt = attempt,
                reason = reason,
                idempotent = true,
                reachedEndpoint = reached,
                saidNotRun = saidNotRun,
                earlierMayHaveRun = mayHaveRun,
                deadline = caller.deadline,
                expected = expected,
            )
        mayHaveRun = failure.mayHaveRun
        EventLog.warn(
            "attempt failed",
            "request" to id,
            "team" to caller.contract.team,
            "endpoint" to endpoint,
            "attempt" to attempt.value,
            "reason" to reason.code,
            "delivered" to delivered.size,
        )
        when (val decision = retries.decide(context.now(), failure)) {
            is RetryDecision.Answer -> end(decision.outcome)
            is RetryDecision.Retry -> retry(decision)
        }
    }

    private fun retry(decision: RetryDecision.Retry) {
        context.metrics.retried(decision.reason)
        val number = attempt
        if (decision.after > Duration.ZERO) {
            context.continueAfter(decision.after) { if (!finished && attempt == number) tryNext() }
        } else {
            tryNext()
        }
    }

    private fun end(outcome: CallOutcome) {
        when (outcome) {
            is CallOutcome.NotRun -> context.metrics.refused(outcome.reason)
            is CallOutcome.Unknown -> context.metrics.unknown(outcome.reason)
            is CallOutcome.Done -> error("a successful request has no failure")
        }
        responder.fail(outcome)
        finish()
    }

    private fun finish() {
        finished = true
        call?.cancel()
        call = null
        routes.selector(request.model)?.finished(context.now(), id)
        onFinished(this)
    }

    private companion object {
        /** Prompts that share this much are expected to share a cached prefix. */
        const val PREFIX_CHARS = 256
        val NO_CHAIN_RETRY = 1.seconds
    }
}
