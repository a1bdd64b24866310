package oriolespindle.router.order

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId
import oriolespindle.core.order.EndpointState
import oriolespindle.core.order.OrderAction
import oriolespindle.core.order.OrderAnswer
import oriolespindle.core.order.OrderCodec
import oriolespindle.router.http.Address
import oriolespindle.router.http.ClientRequest
import oriolespindle.router.http.HttpClient
import oriolespindle.router.http.HttpOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The answer of `GET /v1/state`. */
@Serializable
private data class StateAnswer(
    val model: String? = null,
    val first: Int = 0,
    val end: Int = 0,
    val adapter: String? = null,
    val version: String? = null,
    val role: String? = null,
    val loading: Boolean = false,
) {
    fun toState(): EndpointState =
        EndpointState(
            model = model?.let(::ModelId),
            layers = if (model != null && end > first) LayerRange(first, end) else null,
            version = version,
            adapter = adapter,
            role = role,
            loading = loading,
        )
}

/** The answer of an engine that refuses an order. */
@Serializable
private data class OrderRefusal(
    val reason: String,
    val fence: Long? = null,
)

/** Sends orders to engines and reads their state; results are delivered on an event loop thread. */
internal class EngineOrders(
    private val http: HttpClient,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Sends an order on a new connection; it is not sent after [OrderAction.Send.notAfter]. */
    fun send(
        address: Address,
        action: OrderAction.Send,
        result: (OrderAnswer) -> Unit,
    ) {
        val request =
            ClientRequest(
                address = address,
                method = "POST",
                uri = "/v1/orders",
                body = encodeBody(action).toByteArray(),
                freshConnection = true,
                notAfter = action.notAfter,
            )
        http.call(request, TIMEOUT) { result(toAnswer(it)) }
    }

    /** Reads the state of the engine at [address]; the result is null when it cannot be read. */
    fun readState(
        address: Address,
        result: (EndpointState?) -> Unit,
    ) {
        http.call(ClientRequest(address, "GET", "/v1/state"), TIMEOUT) { outcome ->
            val isRead = outcome is HttpOutcome.Response && outcome.status == STATUS_OK
            result(if (isRead) decode<StateAnswer>(outcome.text)?.toState() else null)
        }
    }

    private fun encodeBody(action: OrderAction.Send): String {
        val command = json.parseToJsonElement(OrderCodec.encode(action.order.endpoint, action.order.command))
        val fields =
            (command as JsonObject) +
                mapOf(
                    "order" to JsonPrimitive(action.order.name),
                    "fence" to JsonPrimitive(action.fence),
                    "expiresInMs" to JsonPrimitive(action.expiresIn.inWholeMilliseconds),
                )
        return JsonObject(fields).toString()
    }

    private fun toAnswer(outcome: HttpOutcome): OrderAnswer =
        when (outcome) {
            is HttpOutcome.Response -> toAnswer(outcome)
            HttpOutcome.NotSent -> OrderAnswer.NotSent
            HttpOutcome.Lost, HttpOutcome.TooLarge -> OrderAnswer.Unconfirmed
        }

    private fun toAnswer(response: HttpOutcome.Response): OrderAnswer {
        if (response.status == STATUS_OK) return OrderAnswer.Accepted
        val refusal = if (response.status == STATUS_CONFLICT) decode<OrderRefusal>(response.text) else null
        val fence = refusal?.fence?.takeIf { refusal.reason == "stale_fence" }
        return if (fence != null) OrderAnswer.StaleFence(fence) else OrderAnswer.Unconfirmed
    }

    private inline fun <reified T> decode(text: String): T? =
        try {
            json.decodeFromString<T>(text)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_CONFLICT = 409

        /** Excludes the load: an engine answers before it loads, and its state shows when the load is complete. */
        val TIMEOUT: Duration = 2.seconds
    }
}
