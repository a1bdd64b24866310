package oriolespindle.router.request

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.UnknownReason
import oriolespindle.router.http.HttpAnswer
import kotlin.time.Duration

/** Builds the HTTP responses for the final outcomes of requests. */
internal object Answers {
    const val REQUEST_ID_HEADER = "Oriolespindle-Request-Id"
    const val OUTCOME_HEADER = "Oriolespindle-Outcome"
    private const val BAD_GATEWAY = 502
    private const val GATEWAY_TIMEOUT = 504

    fun headers(
        request: RequestId?,
        outcome: String,
    ): List<Pair<String, String>> =
        listOfNotNull(request?.let { REQUEST_ID_HEADER to it.value }, OUTCOME_HEADER to outcome)

    fun notRun(
        request: RequestId?,
        outcome: CallOutcome.NotRun,
    ): HttpAnswer {
        val headers = headers(request, "not_run") + retryAfterHeader(outcome.retryAfter)
        val status = outcome.reason.httpStatus
        return HttpAnswer.json(status, encode(errorBody(outcome)), headers)
    }

    fun unknown(
        request: RequestId?,
        outcome: CallOutcome.Unknown,
        retryAfter: Duration? = null,
    ): HttpAnswer {
        val status = if (outcome.reason == UnknownReason.DEADLINE_PASSED) GATEWAY_TIMEOUT else BAD_GATEWAY
        val headers = headers(request, "unknown") + retryAfterHeader(retryAfter)
        return HttpAnswer.json(status, encode(errorBody(outcome, retryAfter)), headers)
    }

    fun errorBody(
        outcome: CallOutcome,
        retryAfter: Duration? = null,
    ): JsonObject =
        buildJsonObject {
            putJsonObject("error") {
                when (outcome) {
                    is CallOutcome.Done -> {
                        put("outcome", "done")
                    }

                    is CallOutcome.NotRun -> {
                        put("outcome", "not_run")
                        put("reason", outcome.reason.code)
                        put("message", outcome.message)
                        outcome.retryAfter?.let { put("retry_after_ms", it.inWholeMilliseconds) }
                    }

                    is CallOutcome.Unknown -> {
                        put("outcome", "unknown")
                        put("reason", outcome.reason.code)
                        put("message", outcome.message)
                        retryAfter?.let { put("retry_after_ms", it.inWholeMilliseconds) }
                    }
                }
            }
        }

    fun encode(element: JsonElement): String = Json.encodeToString(JsonElement.serializer(), element)

    /** Returns the `Retry-After` header in whole seconds, rounded up to at least 1, or nothing for null. */
    private fun retryAfterHeader(after: Duration?): List<Pair<String, String>> =
        if (after == null) {
            emptyList()
        } else {
            listOf("Retry-After" to ((after.inWholeMilliseconds + 999) / 1_000).coerceAtLeast(1).toString())
        }
}
