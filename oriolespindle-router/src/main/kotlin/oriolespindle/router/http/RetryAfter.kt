package oriolespindle.router.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The `Retry-After` header in the form of a delay; dates are not supported. */
internal object RetryAfter {
    const val NAME: String = "Retry-After"
    private val DELAY = Regex("""\d+(\.\d+)?""")

    /** Returns the delay in [value], a decimal number of seconds, or null if it has another form. */
    fun parse(value: String): Duration? =
        value
            .trim()
            .takeIf(DELAY::matches)
            ?.toDouble()
            ?.seconds
}
