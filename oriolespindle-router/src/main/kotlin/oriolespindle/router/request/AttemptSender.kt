package oriolespindle.router.request

import oriolespindle.core.chain.Chain
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.RequestId
import oriolespindle.core.stream.StageCache
import oriolespindle.core.stream.StreamToken
import oriolespindle.router.endpoint.EngineStream
import oriolespindle.router.endpoint.PipelineRequest
import oriolespindle.router.endpoint.PipelineStage
import oriolespindle.router.http.Address
import oriolespindle.router.http.ClientCall
import oriolespindle.router.http.ClientRequest

/** One attempt at a completion; [cache] holds the source of the KV cache for each stage of [chain]. */
internal class Attempt(
    val request: RequestId,
    val number: AttemptNumber,
    val chain: Chain,
    val cache: List<StageCache>,
)

/** Sends each attempt to the first stage of its chain. */
internal class AttemptSender(
    private val context: RequestContext,
) {
    /** Sends [attempt], or returns null if the directory no longer has an endpoint that it needs. */
    fun send(
        attempt: Attempt,
        request: CompletionRequest,
        delivered: List<StreamToken>,
    ): ClientCall? {
        val stages =
            attempt.chain.stages.zip(attempt.cache).map { (stage, cache) ->
                PipelineStage(
                    endpoint = stage.endpoint.value,
                    address = addressOf(stage.endpoint) ?: return null,
                    first = stage.layers.first,
                    end = stage.layers.end,
                    cache = cacheCode(cache),
                    importFrom = (cache as? StageCache.Import)?.let { addressOf(it.from) ?: return null },
                )
            }
        val body =
            PipelineRequest(
                request = attempt.request.value,
                attempt = attempt.number.value,
                model = request.model.value,
                prompt = request.prompt,
                maxTokens = request.maxTokens,
                priority = request.priority,
                from = delivered.size,
                prefix = delivered.map { it.text },
                stages = stages,
            )
        val stream =
            EngineStream(attempt.request, attempt.number) {
                context.offer(RequestMessage.Engine(attempt.request, attempt.number, it))
            }
        val http =
            ClientRequest(
                address = Address.parse(stages.first().address),
                method = "POST",
                uri = "/v1/pipeline",
                body = EngineStream.json.encodeToString(PipelineRequest.serializer(), body).toByteArray(),
                // A pooled connection may have stopped responding while still open, so retries use a new one.
                freshConnection = attempt.number != AttemptNumber.FIRST,
            )
        return context.http.send(http, timeout = null, listener = stream::handle)
    }

    private fun addressOf(endpoint: EndpointId): String? = context.directory.engine(endpoint)?.address

    private fun cacheCode(cache: StageCache): String =
        when (cache) {
            is StageCache.Reuse -> "reuse"
            is StageCache.Import -> "import"
            is StageCache.Recompute -> "recompute"
        }
}
