package oriolespindle.core.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [CrashGuard].
 *
 * [settle] is how long a request that was in flight at two crashes waits for the evidence of peers; it is longer than
 * evidence takes to reach them. [trial] is the time between the starts of two such requests that cannot be told apart
 * yet. Reports about one endpoint within [sameCrash] are one crash; an endpoint takes longer to start again.
 * [massCrashes] endpoints that crash within [sameCrash] point to a rack or switch, and one more crash is then needed to
 * identify a request. Evidence is kept for [remember]; a request that is repeated after it starts without a record.
 */
public data class CrashSettings(
    public val settle: Duration = 300.milliseconds,
    public val trial: Duration = 500.milliseconds,
    public val sameCrash: Duration = 5.seconds,
    public val massCrashes: Int = 4,
    public val remember: Duration = 24.hours,
) {
    init {
        require(massCrashes > MOST_CRASHES) { "massCrashes is $massCrashes, must be more than $MOST_CRASHES" }
    }

    internal companion object {
        /** The target: a request ends at most this many endpoints. */
        const val MOST_CRASHES = 3
    }
}
