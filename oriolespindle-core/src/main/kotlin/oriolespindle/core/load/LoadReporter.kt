package oriolespindle.core.load

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp

/** Decides when an instance sends its load to its peers, and when it sends the sum of its zone to other zones. */
public class LoadReporter(
    private val self: InstanceId,
    private val zone: ZoneId,
    private val settings: LoadSettings = LoadSettings(),
) {
    private var last: LoadReport? = null
    private var sentAt = Timestamp.ZERO
    private var zoneSequence = 0L
    private var zoneSentAt: Timestamp? = null

    /** Returns the report to send to [peers] other instances; null if none is due. */
    public fun nextReport(
        now: Timestamp,
        load: SharedLoad,
        peers: Int,
    ): LoadReport? {
        val previous = last
        if (previous != null && now - sentAt < settings.interval(peers)) return null
        val report = LoadReport(self, (previous?.sequence ?: 0) + 1, load.ownTokens, load.ownStreams)
        val isUnchanged = report.tokens == previous?.tokens && report.streams == previous.streams
        if (isUnchanged && now - sentAt < settings.repeatInterval(peers, report.isEmpty)) return null
        last = report
        sentAt = now
        return report
    }

    /** Returns the sum to send to all instances of other zones; null if none is due or a peer sends it. */
    public fun nextZoneReport(
        now: Timestamp,
        load: SharedLoad,
    ): ZoneLoadReport? {
        val isDue = zoneSentAt?.let { now - it >= settings.zoneInterval } ?: true
        if (!isDue || load.peersHeard(now).any { it < self }) return null
        zoneSentAt = now
        return ZoneLoadReport(self, ++zoneSequence, zone, load.zoneTokens())
    }
}
