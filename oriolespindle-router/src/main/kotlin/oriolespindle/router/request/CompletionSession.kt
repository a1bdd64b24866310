package oriolespindle.router.request

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.ChainChoice
import oriolespindle.core.chain.PrefixHash
import oriolespindle.core.chain.RouteQuery
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.outcome.UnknownReason
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

/** One completion from its first attempt to its final answer. */
internal class CompletionSession(
    private val context: RequestContext,
    private val routes: ModelRoutes,
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
    private var finished = false

    fun start() {
        when (val choice = choose(emptySet())) {
            is ChainChoice.Chosen -> send(choice.chain)
            is ChainChoice.Unavailable -> refuse(choice.reason, "no chain of endpoints covers all layers of the model")
            null -> refuse(RefusalReason.UNKNOWN_MODEL, "model '${request.model.value}' has no plan")
        }
    }

    fun engine(
        number: AttemptNumber,
        signal: EngineSignal,
    ) {
        if (finished || number != attempt) return
        when (signal) {
            is EngineSignal.Lines -> signal.events.forEach(::stream)
            is EngineSignal.Refused -> refuse(RefusalReason.ENDPOINT_REFUSED, "the engine is ${signal.reason}")
            is EngineSignal.BadAnswer -> lost("the engine answered with status ${signal.status}")
            is EngineSignal.Failed -> failed(signal)
        }
    }

    /** Ends the work for a caller that has closed its connection. */
    fun callerGone() {
        if (!finished) finish()
    }

    private fun choose(avoid: Set<EndpointId>): ChainChoice? {
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

    private fun send(chain: Chain) {
        val number = attempt.next()
        val stages = chain.stages.map { stage -> stage to context.directory.engine(stage.endpoint) }
        if (stages.any { it.second == null }) {
            refuse(RefusalReason.NO_CHAIN, "an endpoint of the chosen chain has left")
            return
        }
        attempt = number
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
            is StreamResult.Fault -> lost("the engine's stream ended early: ${result.reason.code}")
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

    private fun failed(signal: EngineSignal.Failed) {
        if (signal.sent) {
            lost("the connection to the engine was lost")
        } else {
            refuse(RefusalReason.NO_CHAIN, "the engine cannot be reached")
        }
    }

    private fun refuse(
        reason: RefusalReason,
        message: String,
    ) {
        context.metrics.refused(reason)
        responder.fail(CallOutcome.NotRun(reason, message))
        finish()
    }

    private fun lost(message: String) {
        context.metrics.unknown(UnknownReason.STREAM_LOST)
        responder.fail(CallOutcome.Unknown(UnknownReason.STREAM_LOST, message))
        finish()
    }

    private fun finish() {
        finished = true
        call?.cancel()
        routes.selector(request.model)?.finished(context.now(), id)
        onFinished(this)
    }

    private companion object {
        /** Prompts that share this much are expected to share a cached prefix. */
        const val PREFIX_CHARS = 256
    }
}
