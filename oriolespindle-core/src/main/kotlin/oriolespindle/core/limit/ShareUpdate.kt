package oriolespindle.core.limit

import oriolespindle.core.time.Timestamp

/** The units of one limit. */
public data class KeyUnits(
    public val key: LimitKey,
    public val units: Int,
)

/**
 * The units that the limiter of an instance may use.
 *
 * [units] holds absolute values, so applying an update twice is harmless. After [validUntil] the limiter admits
 * nothing, because the process may have been paused and its units may belong to another instance.
 */
public data class ShareUpdate(
    public val sequence: Long,
    public val validUntil: Timestamp,
    public val units: List<KeyUnits>,
)

/**
 * The limiter's usage of one limit, in units.
 *
 * @property inUse units occupied by requests in progress, or by what was admitted in the last 10 s.
 * @property demand units needed to serve the current demand.
 * @property need units required to start the smallest recently refused request; 0 if none was refused.
 */
public data class KeyUsage(
    public val key: LimitKey,
    public val inUse: Int,
    public val demand: Int,
    public val need: Int,
)

/** The usage of an instance after applying the update with [sequence]; keys that are not listed are unused. */
public data class UsageReport(
    public val sequence: Long,
    public val usages: List<KeyUsage>,
)
