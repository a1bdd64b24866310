package oriolespindle.router.directory

import kotlinx.serialization.Serializable

/** The value of a `model` object; unlisted links use [sameZone] or [crossZone], depending on their endpoints' zones. */
@Serializable
internal data class ModelValue(
    val layers: Int,
    val links: List<LinkValue> = emptyList(),
    val sameZone: LinkDefault = LinkDefault(tokensPerSecond = 1_000_000.0, latencyMs = 0.1),
    val crossZone: LinkDefault = LinkDefault(tokensPerSecond = 100_000.0, latencyMs = 0.5),
)

/** The rate and latency of the link between two endpoints of a model. */
@Serializable
internal data class LinkValue(
    val from: String,
    val to: String,
    val tokensPerSecond: Double,
    val latencyMs: Double,
)

/** The rate and latency of links that a model does not list. */
@Serializable
internal data class LinkDefault(
    val tokensPerSecond: Double,
    val latencyMs: Double,
)

/** The value of an `endpoint` object: either a stage of [model] with its layers, or a server of [service]. */
@Serializable
internal data class EndpointValue(
    val address: String,
    val zone: String,
    val model: String? = null,
    val first: Int? = null,
    val end: Int? = null,
    val tokensPerSecond: Double? = null,
    val accelerator: String = "default",
    val checksFence: Boolean = true,
    val service: String? = null,
)

/** The value of a `service` object. */
@Serializable
internal data class ServiceValue(
    val nonIdempotentMethods: Set<String> = setOf("POST", "PATCH"),
)

/** The value of a `drain` object, named after an endpoint; deleting the object ends the drain. */
@Serializable
internal data class DrainValue(
    val draining: Boolean = true,
)
