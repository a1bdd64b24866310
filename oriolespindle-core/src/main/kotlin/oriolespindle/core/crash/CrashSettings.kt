package oriolespindle.core.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [CrashGuard].
 *
 * [evidenceDelay] is how long a request that was in flight at two crashes waits for the evidence of peers; it is
 * longer than evidence takes to reach them. [trialInterval] is the time between the starts of two such requests that
 * cannot be told apart yet. Reports about one endpoint within [sameCrashWindow] are one crash; an endpoint takes
 * longer to start again. [minMassCrashEndpoints] endpoints that crash within [sameCrashWindow] point to a rack or
 * switch, and one more crash is then needed to identify a request. Evidence is kept for [retention]; a request that is
 * repeated after it starts without a record.
 */
public data class CrashSettings(
    public val evidenceDelay: Duration = 300.milliseconds,
    public val trialInterval: Duration = 500.milliseconds,
    public val sameCrashWindow: Duration = 5.seconds,
    public val minMassCrashEndpoints: Int = 4,
    public val retention: Duration = 24.hours,
) {
    init {
        require(minMassCrashEndpoints > MAX_CRASHES) {
            "minMassCrashEndpoints is $minMassCrashEndpoints, must be more than $MAX_CRASHES"
        }
    }

    internal companion object {
        /** The target: a request ends at most this many endpoints. */
        const val MAX_CRASHES = 3
    }
}
