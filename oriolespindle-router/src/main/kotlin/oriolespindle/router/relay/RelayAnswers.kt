package oriolespindle.router.relay

import oriolespindle.router.http.HttpAnswer
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Answers that the relay itself generates. */
internal object RelayAnswers {
    const val BAD_REQUEST = 400
    const val UNAUTHORIZED = 401
    const val NOT_FOUND = 404

    /** The reason of answers to requests that the instance cannot finish before it is killed. */
    const val STOPPING = "stopping"

    /** The reason of answers to requests under which endpoints have ended. */
    const val QUARANTINED = "quarantined"

    /** The reason of answers to requests that an error of the relay's own code has ended. */
    const val UNEXPECTED_ERROR = "unexpected_error"
    private const val UNAVAILABLE = 503
    private const val RETRY_AFTER = "Retry-After"

    /** Returns the answer to a request that did not run; with a null [retryAfter] it has no `Retry-After` header. */
    fun refusal(
        reason: String,
        retryAfter: Duration?,
    ): HttpAnswer {
        val headers = retryAfter?.let { listOf(RETRY_AFTER to seconds(it)) }.orEmpty()
        return HttpAnswer.json(UNAVAILABLE, body("not_run", reason), headers)
    }

    /** Returns the answer to a request that is malformed or that the configuration does not allow. */
    fun denial(
        status: Int,
        reason: String,
    ): HttpAnswer = HttpAnswer.json(status, body("not_run", reason))

    /** Returns the answer to a request that may or may not have run. */
    fun failure(
        status: Int,
        reason: String,
    ): HttpAnswer = HttpAnswer.json(status, body("unknown", reason))

    private fun body(
        outcome: String,
        reason: String,
    ): String = """{"error":{"outcome":"$outcome","reason":"$reason"}}"""

    private fun seconds(duration: Duration): String =
        "%.3f".format(java.util.Locale.ROOT, duration.toDouble(DurationUnit.SECONDS))
}
