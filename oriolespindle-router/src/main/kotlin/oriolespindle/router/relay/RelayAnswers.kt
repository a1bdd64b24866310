package oriolespindle.router.relay

import oriolespindle.router.http.HttpAnswer
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The relay's own answers. */
internal object RelayAnswers {
    const val BAD_REQUEST = 400
    const val UNAUTHORIZED = 401
    const val NOT_FOUND = 404
    private const val UNAVAILABLE = 503
    private const val RETRY_AFTER = "Retry-After"

    /** The request did not run; a null [retryAfter] tells nothing about when a repeat may succeed. */
    fun refusal(
        reason: String,
        retryAfter: Duration?,
    ): HttpAnswer {
        val headers = retryAfter?.let { listOf(RETRY_AFTER to seconds(it)) }.orEmpty()
        return HttpAnswer.json(UNAVAILABLE, body("not_run", reason), headers)
    }

    /** The configuration does not allow the request, or it is malformed. */
    fun denial(
        status: Int,
        reason: String,
    ): HttpAnswer = HttpAnswer.json(status, body("not_run", reason))

    /** It is not known whether the request ran. */
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
