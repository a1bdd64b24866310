package oriolespindle.core.claim

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [ClaimCall].
 *
 * [validity] is the time after its first claim write within which a holder may start to send. A claim without an
 * outcome counts as in progress for [maxCallDuration]; after that its holder counts as lost. [maxStoredBodyBytes] keeps
 * a claim object far below the platform's limit of 1 MB. [retryAfter] is the delay that callers are told to wait.
 *
 * A background read or outcome write is attempted [maxAttempts] times with an exponential backoff that starts at
 * [firstBackoff]: 10 attempts span an outage of about 50 s. A retry that finds the claim in progress polls it for
 * [outcomeTimeout], first after [firstPollDelay], with delays that double.
 */
public data class ClaimSettings(
    public val validity: Duration = 5.seconds,
    public val maxCallDuration: Duration = 2.minutes,
    public val maxStoredBodyBytes: Int = 16 * 1024,
    public val retryAfter: Duration = 1.seconds,
    public val maxAttempts: Int = 10,
    public val firstBackoff: Duration = 100.milliseconds,
    public val outcomeTimeout: Duration = 1.seconds,
    public val firstPollDelay: Duration = 20.milliseconds,
) {
    init {
        require(validity > Duration.ZERO) { "validity is $validity, must be positive" }
        require(maxCallDuration > validity) {
            "maxCallDuration is $maxCallDuration, must be longer than the validity $validity"
        }
        require(maxStoredBodyBytes >= 0) { "maxStoredBodyBytes is $maxStoredBodyBytes, must not be negative" }
        require(maxAttempts > 0) { "maxAttempts is $maxAttempts, must be positive" }
        require(firstPollDelay > Duration.ZERO) { "firstPollDelay is $firstPollDelay, must be positive" }
    }

    internal fun backoff(failures: Int): Duration = firstBackoff * (1 shl (failures - 1).coerceIn(0, MAX_DOUBLINGS))

    internal fun pollDelay(earlierPolls: Int): Duration =
        firstPollDelay * (1 shl earlierPolls.coerceIn(0, MAX_DOUBLINGS))

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
