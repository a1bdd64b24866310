package oriolespindle.router.platform

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import oriolespindle.router.http.Address
import oriolespindle.router.http.ClientRequest
import oriolespindle.router.http.HttpClient
import oriolespindle.router.http.HttpOutcome
import java.net.URLEncoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A client of the platform's API; results arrive on an event loop thread. [onCall] receives each call's operation. */
internal class PlatformClient(
    private val http: HttpClient,
    private val address: Address,
    private val timeout: Duration = 2.seconds,
    private val onCall: (operation: String) -> Unit = {},
) {
    fun get(
        kind: String,
        name: String,
        result: (PlatformResult<PlatformObject>) -> Unit,
    ) {
        onCall("get")
        val request = ClientRequest(address, "GET", objectUri(kind, name))
        call(request, PlatformAnswers::item, result)
    }

    /** Creates the object if [expectedVersion] is null, otherwise replaces exactly that version. */
    fun put(
        kind: String,
        name: String,
        value: JsonElement,
        expectedVersion: Long?,
        result: (PlatformResult<PlatformObject>) -> Unit,
    ) {
        onCall("put")
        val condition =
            if (expectedVersion == null) "If-None-Match" to "*" else "If-Match" to expectedVersion.toString()
        val body = value.toString().toByteArray()
        val request =
            ClientRequest(
                address = address,
                method = "PUT",
                uri = objectUri(kind, name),
                body = body,
                headers = listOf(condition),
            )
        call(request, PlatformAnswers::item, result)
    }

    fun delete(
        kind: String,
        name: String,
        expectedVersion: Long,
        result: (PlatformResult<PlatformObject>) -> Unit,
    ) {
        onCall("delete")
        val headers = listOf("If-Match" to expectedVersion.toString())
        val request = ClientRequest(address, "DELETE", objectUri(kind, name), headers = headers)
        call(request, PlatformAnswers::item, result)
    }

    fun list(
        kinds: List<String>,
        result: (PlatformResult<PlatformList>) -> Unit,
    ) {
        onCall("list")
        val request = ClientRequest(address, "GET", "/v1/objects?kinds=${kinds.joinToString(",")}")
        call(request, PlatformAnswers::list, result)
    }

    fun listInstances(result: (PlatformResult<PlatformInstanceList>) -> Unit) {
        onCall("instances")
        call(ClientRequest(address, "GET", "/v1/instances"), PlatformAnswers::instances, result)
    }

    fun register(
        instance: PlatformInstance,
        result: (Boolean) -> Unit,
    ) {
        onCall("register")
        val body = Json.encodeToString(PlatformInstance.serializer(), instance).toByteArray()
        val request = ClientRequest(address, "PUT", "/v1/instances/${encode(instance.id)}", body = body)
        http.call(request, timeout) { result(it is HttpOutcome.Response && it.status in SUCCESS) }
    }

    /** Opens a watch of [kinds] after revision [from]; [onLine] receives null when the watch has ended. */
    fun watch(
        kinds: List<String>,
        from: Long,
        onLine: (WatchLine?) -> Unit,
    ): Watch {
        onCall("watch")
        val uri = "/v1/watch?kinds=${kinds.joinToString(",")}&from=$from"
        val request = ClientRequest(address, "GET", uri, freshConnection = true)
        return Watch(http, request, onLine).also { it.start() }
    }

    private fun <T> call(
        request: ClientRequest,
        decode: (String) -> T,
        result: (PlatformResult<T>) -> Unit,
    ) {
        http.call(request, timeout) { outcome ->
            result(
                when (outcome) {
                    is HttpOutcome.Response -> toResult(request, outcome, decode)
                    HttpOutcome.NotSent -> PlatformResult.Unavailable(mayBeApplied = false)
                    HttpOutcome.Lost, HttpOutcome.TooLarge -> unavailable(request)
                },
            )
        }
    }

    private fun <T> toResult(
        request: ClientRequest,
        response: HttpOutcome.Response,
        decode: (String) -> T,
    ): PlatformResult<T> =
        when (response.status) {
            in SUCCESS -> {
                decodeOrNull(response.text, decode)?.let { PlatformResult.Ok(it) } ?: PlatformResult.Unavailable(true)
            }

            NOT_FOUND -> {
                PlatformResult.NotFound
            }

            // The platform returns version 0 for an object that does not exist.
            PRECONDITION_FAILED -> {
                PlatformResult.Conflict(decodeOrNull(response.text, PlatformAnswers::item)?.takeIf { it.version > 0 })
            }

            else -> {
                unavailable(request)
            }
        }

    private fun unavailable(request: ClientRequest) = PlatformResult.Unavailable(mayBeApplied = request.method != "GET")

    private fun <T> decodeOrNull(
        text: String,
        decode: (String) -> T,
    ): T? =
        try {
            decode(text)
        } catch (_: SerializationException) {
            null
        }

    private fun objectUri(
        kind: String,
        name: String,
    ): String = "/v1/objects/${encode(kind)}/${encode(name)}"

    private fun encode(segment: String): String = URLEncoder.encode(segment, Charsets.UTF_8).replace("+", "%20")

    private companion object {
        val SUCCESS = 200..299
        const val NOT_FOUND = 404
        const val PRECONDITION_FAILED = 412
    }
}
