package oriolespindle.core.order

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import oriolespindle.core.config.StoredObject
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId

/** The result of reading a stored order. */
public sealed interface OrderResult {
    /** The object holds [order]. */
    public data class Valid(
        public val order: OperatorOrder,
    ) : OrderResult

    /** The object is not a valid order, for [reason]; it is not carried out. */
    public data class Invalid(
        public val reason: String,
    ) : OrderResult
}

/**
 * Reads and writes orders as JSON with the fields that engines use:
 * `{"endpoint","action":"load"|"unload"|"role","model","first","end","adapter","version","role","bytes"}`.
 */
public object OrderCodec {
    @Serializable
    private data class Document(
        val endpoint: EndpointId,
        val action: String,
        val model: ModelId? = null,
        val first: Int? = null,
        val end: Int? = null,
        val adapter: String? = null,
        val version: String? = null,
        val role: String? = null,
        val bytes: Long = 0,
    )

    private val json =
        Json {
            ignoreUnknownKeys = true
            explicitNulls = false
        }

    /** Parses the order in [item]; a deleted object is [OrderResult.Invalid]. */
    public fun parse(item: StoredObject): OrderResult {
        val text = item.value ?: return OrderResult.Invalid("${item.key} is deleted")
        return try {
            val document = json.decodeFromString<Document>(text)
            OrderResult.Valid(OperatorOrder(item.key.name, item.version, document.endpoint, command(document)))
        } catch (e: IllegalArgumentException) {
            // Covers SerializationException, a missing field and an empty layer range.
            OrderResult.Invalid("${item.key}: ${e.message}")
        }
    }

    /** Parses the order in [item]; returns null if it is not a valid order. */
    public fun parseOrNull(item: StoredObject): OperatorOrder? = (parse(item) as? OrderResult.Valid)?.order

    /** Encodes [command] for [endpoint] as the JSON text to store. */
    public fun encode(
        endpoint: EndpointId,
        command: OrderCommand,
    ): String = json.encodeToString(document(endpoint, command))

    private fun command(document: Document): OrderCommand =
        when (document.action) {
            "load" -> load(document)
            "unload" -> OrderCommand.Unload(requireNotNull(document.model) { "model is missing" })
            "role" -> OrderCommand.ChangeRole(requireNotNull(document.role) { "role is missing" })
            else -> throw IllegalArgumentException("action is '${document.action}', must be load, unload or role")
        }

    private fun load(document: Document): OrderCommand.Load {
        require(document.bytes >= 0) { "bytes is ${document.bytes}, must not be negative" }
        return OrderCommand.Load(
            model = requireNotNull(document.model) { "model is missing" },
            layers =
                LayerRange(
                    first = requireNotNull(document.first) { "first is missing" },
                    end = requireNotNull(document.end) { "end is missing" },
                ),
            version = requireNotNull(document.version) { "version is missing" },
            adapter = document.adapter,
            bytes = document.bytes,
        )
    }

    private fun document(
        endpoint: EndpointId,
        command: OrderCommand,
    ): Document =
        when (command) {
            is OrderCommand.Unload -> {
                Document(endpoint, "unload", command.model)
            }

            is OrderCommand.ChangeRole -> {
                Document(endpoint, "role", role = command.role)
            }

            is OrderCommand.Load -> {
                Document(
                    endpoint = endpoint,
                    action = "load",
                    model = command.model,
                    first = command.layers.first,
                    end = command.layers.end,
                    adapter = command.adapter,
                    version = command.version,
                    bytes = command.bytes,
                )
            }
        }
}
