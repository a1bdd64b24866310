package oriolespindle.core.load

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The intervals and validity of load reports, which must be the same on all instances. */
public data class LoadSettings(
    /** The fewest instances of a zone, including this one, that share their load. */
    public val minInstances: Int = 4,
    /** The shortest interval between two reports of an instance. */
    public val minInterval: Duration = 300.milliseconds,
    /** The interval for each peer; bounds the reports that an instance receives to 25 per second. */
    public val intervalPerPeer: Duration = 40.milliseconds,
    /** The interval of the reports of an instance without load, unless unchanged reports are less frequent. */
    public val emptyInterval: Duration = 1.seconds,
    /** The validity of a report in intervals after which it is repeated; more than 2, since one report may be lost. */
    public val validRepeats: Double = 2.5,
    /** The interval of the sums that are sent to other zones. */
    public val zoneInterval: Duration = 1.seconds,
    /** The validity of another zone's sum. */
    public val zoneValidity: Duration = 3.seconds,
    /** Without a report for this long, and without a valid one, an instance is no candidate for the zone's sum. */
    public val senderTimeout: Duration = 2.seconds,
    /** The weight of the own requests' distribution, against that of the reports, in the choice of endpoints. */
    public val ownWeight: Double = 0.75,
) {
    /** Returns the interval of reports to [peers] other instances while the load changes. */
    public fun interval(peers: Int): Duration = maxOf(minInterval, intervalPerPeer * peers)

    /** Returns the interval after which an unchanged report is repeated. */
    public fun repeatInterval(
        peers: Int,
        isEmpty: Boolean,
    ): Duration {
        val unchanged = interval(peers) * 2
        return if (isEmpty) maxOf(emptyInterval, unchanged) else unchanged
    }

    /** Returns how long a report counts after its arrival. */
    public fun validity(
        peers: Int,
        isEmpty: Boolean,
    ): Duration = repeatInterval(peers, isEmpty) * validRepeats
}
