package oriolespindle.core.retry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of [RetryPolicy].
 *
 * [ratio] limits the retries of a team, and those to a service, to a fraction of the requests that were admitted during
 * [window]. Since the budget follows from past load, 0.08 keeps retries within 10% of the load in an outage while the
 * load falls by up to a sixth; with 0.1, random variation alone brought them to 10.5%. A window of 10 s allows the
 * requests of one failed endpoint to be retried together without accumulating budget for an outage.
 *
 * [maxAttempts] includes the first attempt. The second attempt starts at once, since it goes to another endpoint; later
 * ones wait for an exponential backoff that starts at [initialBackoff]. [minRetryAfter] is the least delay that a
 * caller is told to wait before a retry.
 */
public data class RetrySettings(
    public val ratio: Double = 0.08,
    public val window: Duration = 10.seconds,
    public val maxAttempts: Int = 3,
    public val initialBackoff: Duration = 20.milliseconds,
    public val minRetryAfter: Duration = 1.seconds,
) {
    init {
        require(ratio in 0.0..1.0) { "ratio is $ratio, must be from 0 to 1" }
        require(window >= 1.seconds) { "window is $window, must be at least 1 s" }
        require(maxAttempts >= 1) { "maxAttempts is $maxAttempts, must be at least 1" }
    }
}
