package oriolespindle.core.fairness

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [FairQueue].
 *
 * @property maxEntries the maximum number of waiting requests; half of it is reserved in equal parts for the teams, so
 *   that a few teams cannot fill it.
 * @property minTokens the minimum cost of a request, so that calls without tokens count.
 * @property rateWindow the period over which the service rate is measured.
 * @property minBusyTime the busy time that must be observed before a measured service rate is used.
 * @property earlyRefusalFactor the ratio of a queued request's estimated wait to the time left until it has to start,
 *   above which it is refused early.
 * @property refusesUnreachable whether requests that are not expected to start in time are refused; otherwise the user
 *   of the queue decides with [FairQueue.expectedWait].
 */
public data class FairSettings(
    public val maxEntries: Int = 100_000,
    public val minTokens: Int = 1,
    public val rateWindow: Duration = 1.seconds,
    public val minBusyTime: Duration = 100.milliseconds,
    public val earlyRefusalFactor: Double = 1.5,
    public val refusesUnreachable: Boolean = true,
)
