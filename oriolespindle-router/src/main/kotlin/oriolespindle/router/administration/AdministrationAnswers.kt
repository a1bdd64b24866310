package oriolespindle.router.administration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import oriolespindle.router.http.HttpAnswer

/** Builds the HTTP responses of the administration API. */
internal object AdministrationAnswers {
    private const val STATUS_NOT_FOUND = 404
    private const val STATUS_METHOD_NOT_ALLOWED = 405

    fun json(
        status: Int,
        body: JsonElement,
    ): HttpAnswer = HttpAnswer.json(status, Json.encodeToString(JsonElement.serializer(), body))

    fun error(
        status: Int,
        message: String,
    ): HttpAnswer = json(status, buildJsonObject { put("error", message) })

    fun notFound(): HttpAnswer = error(STATUS_NOT_FOUND, "no such path or object")

    fun methodNotAllowed(allowed: String): HttpAnswer =
        HttpAnswer(
            status = STATUS_METHOD_NOT_ALLOWED,
            body = error(STATUS_METHOD_NOT_ALLOWED, "the method must be one of $allowed").body,
            headers = listOf("Allow" to allowed),
        )

    fun text(
        status: Int,
        body: String,
    ): HttpAnswer = HttpAnswer(status, body.toByteArray(), contentType = "text/plain; charset=utf-8")
}
