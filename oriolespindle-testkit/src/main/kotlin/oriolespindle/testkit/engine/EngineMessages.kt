package oriolespindle.testkit.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal enum class CacheUse {
    @SerialName("reuse")
    REUSE,

    @SerialName("recompute")
    RECOMPUTE,

    @SerialName("import")
    IMPORT,
}

@Serializable
internal data class PipelineStage(
    val endpoint: String,
    val address: String,
    val first: Int,
    val end: Int,
    val cache: CacheUse = CacheUse.RECOMPUTE,
    val importFrom: String? = null,
)

@Serializable
internal data class PipelineRequest(
    val request: String,
    val attempt: Int,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val priority: Int = 0,
    val from: Int = 0,
    val prefix: List<String> = emptyList(),
    val stages: List<PipelineStage>,
)

/** A line of an answer: a token, the end or an error, by which fields are present. */
@Serializable
internal data class PipelineLine(
    val request: String,
    val attempt: Int,
    val position: Int? = null,
    val token: String? = null,
    val layers: List<List<Int>>? = null,
    val end: Boolean? = null,
    val count: Int? = null,
    val error: String? = null,
    val endpoint: String? = null,
)

@Serializable
internal data class Refusal(
    val request: String,
    val attempt: Int,
    val outcome: String,
    val reason: String,
    val endpoint: String? = null,
)

/** The answer of `GET /v1/load`. */
@Serializable
internal data class EngineLoad(
    val endpoint: String,
    val state: String,
    val active: Int,
    val queued: Int,
    val tokensPerSecond: Double,
    val model: String?,
    val version: String?,
    val first: Int,
    val end: Int,
    val sessions: List<HeldSession>,
    val linkMillis: Map<String, Double>,
)

@Serializable
internal data class HeldSession(
    val request: String,
    val tokens: Int,
)

@Serializable
internal data class EngineOrder(
    val order: String,
    val fence: Long = 0,
    val expiresInMs: Long = Long.MAX_VALUE,
    val action: OrderAction,
    val model: String? = null,
    val first: Int? = null,
    val end: Int? = null,
    val adapter: String? = null,
    val version: String? = null,
    val role: String? = null,
)

@Serializable
internal enum class OrderAction {
    @SerialName("load")
    LOAD,

    @SerialName("unload")
    UNLOAD,

    @SerialName("role")
    ROLE,
}

/** What an engine holds, as `GET /v1/state` gives it back; an empty range means that no layers are loaded. */
@Serializable
public data class EngineState(
    public val endpoint: String,
    public val model: String?,
    public val first: Int,
    public val end: Int,
    public val adapter: String? = null,
    public val version: String? = null,
    public val role: String = "serve",
    public val fence: Long = 0,
    public val order: String? = null,
)

@Serializable
internal data class OrderRefusal(
    val reason: String,
    val fence: Long? = null,
)

/**
 * The layers that an engine ran in one attempt of a request; [positions] has one entry for each run, so that a position
 * that ran twice is in it twice.
 */
@Serializable
public data class EngineRun(
    public val request: String,
    public val attempt: Int,
    public val first: Int,
    public val end: Int,
    public val positions: List<Int>,
)

@Serializable
internal data class Cancelled(
    val cancelled: String,
)
