package oriolespindle.ctl

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.URLEncoder
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Calls the administration API of the instance at [address] with the bearer [token]. */
internal class AdministrationClient(
    private val address: String,
    private val token: String,
    private val answerTimeout: Duration = ANSWER_TIMEOUT,
) {
    private val http =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
            .build()

    fun list(kind: String): ApiResult<ItemList> = call(request("/v1/objects/$kind"), ItemList.serializer())

    fun read(
        kind: String,
        name: String,
    ): ApiResult<StoredItem> = call(request(path(kind, name)), StoredItem.serializer())

    /** Replaces the object with [value] if its version is [expected], or creates it if [expected] is null. */
    fun write(
        kind: String,
        name: String,
        value: JsonObject,
        expected: Long?,
    ): ApiResult<WrittenItem> {
        val condition = if (expected == null) "If-None-Match" to "*" else "If-Match" to "$expected"
        val body = HttpRequest.BodyPublishers.ofString(value.toString())
        val request =
            request(path(kind, name))
                .header(condition.first, condition.second)
                .header("Content-Type", "application/json")
                .PUT(body)
        return call(request, WrittenItem.serializer())
    }

    /** Deletes the object if its version is [version]. */
    fun delete(
        kind: String,
        name: String,
        version: Long,
    ): ApiResult<WrittenItem> {
        val request = request(path(kind, name)).header("If-Match", "$version").DELETE()
        return call(request, WrittenItem.serializer())
    }

    fun status(): ApiResult<JsonObject> = call(request("/v1/status"), JsonObject.serializer())

    fun rollout(revision: Long): ApiResult<RolloutState> =
        call(request("/v1/rollout/$revision"), RolloutState.serializer())

    private fun path(
        kind: String,
        name: String,
    ): String = "/v1/objects/$kind/${URLEncoder.encode(name, Charsets.UTF_8)}"

    private fun request(path: String): HttpRequest.Builder =
        HttpRequest
            .newBuilder(URI.create("http://$address$path"))
            .timeout(answerTimeout.toJavaDuration())
            .header("Authorization", "Bearer $token")

    private fun <T> call(
        builder: HttpRequest.Builder,
        serializer: KSerializer<T>,
    ): ApiResult<T> {
        val request = builder.build()
        val response =
            try {
                http.send(request, HttpResponse.BodyHandlers.ofString())
            } catch (e: ConnectException) {
                return ApiResult.NotReachable("$address refuses connections: ${e.message}")
            } catch (e: HttpConnectTimeoutException) {
                return ApiResult.NotReachable("$address does not accept connections: ${e.message}")
            } catch (e: IOException) {
                return failureWithoutAnswer(request, "$address did not send a complete answer: ${e.message}")
            }
        if (response.statusCode() != STATUS_OK) return failure(request, response)
        return decode(serializer, response.body())?.let { ApiResult.Ok(it) }
            ?: failureWithoutAnswer(request, "$address sent an answer that cannot be parsed")
    }

    private fun failure(
        request: HttpRequest,
        response: HttpResponse<String>,
    ): ApiResult.Failure {
        val status = response.statusCode()
        val body = decode(ErrorBody.serializer(), response.body()) ?: ErrorBody("status $status")
        return when (status) {
            STATUS_UNAUTHORIZED, STATUS_FORBIDDEN -> ApiResult.NotAuthorized(body.error)
            STATUS_NOT_FOUND -> ApiResult.NotFound(body.error)
            STATUS_PRECONDITION_FAILED -> ApiResult.Conflict(body.error, body.current)
            STATUS_UNAVAILABLE -> ApiResult.NotReachable(body.error)
            STATUS_BAD_GATEWAY -> ApiResult.Uncertain(body.error)
            in CLIENT_ERRORS -> ApiResult.Refused(body.error, body.violations)
            else -> failureWithoutAnswer(request, "$address answered with status $status: ${body.error}")
        }
    }

    /** Classifies a call without a usable answer: a read changed nothing, while a write may have been applied. */
    private fun failureWithoutAnswer(
        request: HttpRequest,
        message: String,
    ): ApiResult.Failure =
        if (request.method() == "GET") ApiResult.NotReachable(message) else ApiResult.Uncertain(message)

    private fun <T> decode(
        serializer: KSerializer<T>,
        text: String,
    ): T? =
        try {
            apiJson.decodeFromString(serializer, text)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        val CONNECT_TIMEOUT = 5.seconds

        // If the platform's answer is lost, the instance reads the object back before it answers.
        val ANSWER_TIMEOUT = 30.seconds
        const val STATUS_OK = 200
        const val STATUS_UNAUTHORIZED = 401
        const val STATUS_FORBIDDEN = 403
        const val STATUS_NOT_FOUND = 404
        const val STATUS_PRECONDITION_FAILED = 412
        const val STATUS_BAD_GATEWAY = 502
        const val STATUS_UNAVAILABLE = 503
        val CLIENT_ERRORS = 400..499
    }
}
