package oriolespindle.testkit.service

import kotlinx.serialization.Serializable

/**
 * How often calls had an effect, in total, by `Idempotency-Key` and by `Oriolespindle-Request-Id`.
 *
 * Calls without the header are counted under the empty name.
 */
@Serializable
public data class ServiceEffects(
    public val total: Int,
    public val byKey: Map<String, Int>,
    public val byRequest: Map<String, Int>,
)

@Serializable
internal data class ServiceReply(
    val endpoint: String,
    val method: String,
    val path: String,
    val key: String?,
    val effect: Int?,
    val body: String,
)

@Serializable
internal data class ServiceRefusal(
    val outcome: String,
    val reason: String,
)
