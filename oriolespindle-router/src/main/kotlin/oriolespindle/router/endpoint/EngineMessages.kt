package oriolespindle.router.endpoint

import kotlinx.serialization.Serializable

/** The body of `POST /v1/pipeline`. */
@Serializable
internal data class PipelineRequest(
    val request: String,
    val attempt: Int,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val priority: Int,
    val from: Int,
    val prefix: List<String>,
    val stages: List<PipelineStage>,
)

/** One stage; [cache] is `reuse`, `recompute` or `import`, and [importFrom] is the source address for `import`. */
@Serializable
internal data class PipelineStage(
    val endpoint: String,
    val address: String,
    val first: Int,
    val end: Int,
    val cache: String = "recompute",
    val importFrom: String? = null,
)

/** One line of a pipeline's answer: a token, the end or an error, depending on which fields are present. */
@Serializable
internal data class PipelineLine(
    val request: String,
    val attempt: Int,
    val position: Int? = null,
    val token: String? = null,
    val layers: List<List<Int>> = emptyList(),
    val end: Boolean = false,
    val count: Int? = null,
    val error: String? = null,
    val endpoint: String? = null,
)

/** The answer of an engine that did not run [attempt] of [request]. */
@Serializable
internal data class EngineRefusal(
    val request: String? = null,
    val attempt: Int? = null,
    val outcome: String,
    val reason: String,
)

/** The answer of `GET /v1/load`. */
@Serializable
internal data class LoadAnswer(
    val endpoint: String,
    val state: String,
    val active: Int,
    val queued: Int = 0,
    val tokensPerSecond: Double = 0.0,
    val linkMillis: Map<String, Double> = emptyMap(),
)
