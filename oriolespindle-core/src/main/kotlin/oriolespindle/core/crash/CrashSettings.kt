package oriolespindle.core.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [CrashGuard].
 *
 * A request that was in flight at two crashes waits [evidenceDelay] for the evidence of peers; this is longer than
 * evidence takes to reach them. [trialInterval] is the time between the starts of two such requests that cannot be
 * distinguished yet. Reports on one endpoint within [sameCrashWindow] are the same crash; an endpoint takes longer to
 * restart. If [minMassCrashEndpoints] endpoints crash within [sameCrashWindow], a rack or switch has probably failed,
 * and one more crash is needed to identify a request. Evidence is kept for [retention]; a request that is retried later
 * starts without a record.
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
        /** The target: a request crashes at most this many endpoints. */
        const val MAX_CRASHES = 3
    }
}
