package oriolespindle.router.relay

import oriolespindle.core.id.InstanceId
import oriolespindle.core.load.LoadReporter
import oriolespindle.core.load.LoadSettings
import oriolespindle.core.placement.PathBalance
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges load reports with the other instances of the zone, and sums with the other zones.
 *
 * It is in effect while enough instances of the zone exchange datagrams; otherwise nothing is sent, reports are ignored
 * and paths are chosen by the own requests. Confined to the event loop.
 */
internal class LoadSharing(
    private val context: RelayContext,
    self: InstanceId,
    private val settings: LoadSettings = LoadSettings(),
    private val send: (PeerHint) -> Unit,
) {
    private val reporter = LoadReporter(self, context.zone, settings)
    private val balance =
        PathBalance(
            random = SplittableRandom(self.value.hashCode().toLong()),
            loadFactor = context.load::choiceFactor,
            isKnown = context.load::isKnown,
        )
    private val isActive: Boolean get() = context.balance != null

    /** Whether fewer than half of the peers have a valid report, as at the start. */
    private var lacksReports = true
    private var isStarted = false

    /** The number of other instances of the zone that exchange datagrams. */
    var peers: Int = 0
        set(value) {
            field = value
            update()
        }

    /** Starts to send and to use reports; not called by an instance that does not exchange datagrams. */
    fun start() {
        isStarted = true
        update()
        context.timers.every(CHECK_INTERVAL, ::onTick)
        context.metrics.gauge("oriolespindle.relay.load.peers") { context.load.reportingPeers }
        context.metrics.ageGauge("oriolespindle.relay.load.age") { context.load.oldestReportAge(monotonicNow()) }
    }

    /** Uses a report of another instance. */
    fun onReport(hint: PeerHint.Load) {
        if (isActive) context.load.onReport(monotonicNow(), hint.report)
    }

    /** Uses the sum of another zone; the own zone's can arrive while the instances know different peers. */
    fun onZoneReport(hint: PeerHint.ZoneLoad) {
        if (isActive && hint.report.zone != context.zone) context.load.onZoneReport(monotonicNow(), hint.report)
    }

    private fun update() {
        val isEnough = isStarted && peers + 1 >= settings.minInstances
        if (isEnough == isActive) return
        context.balance = balance.takeIf { isEnough }
        if (!isEnough) context.load.forgetReports()
        lacksReports = true
        EventLog.info(if (isEnough) "load is shared" else "load is no longer shared", "peers" to peers)
    }

    private fun onTick() {
        if (!isActive) return
        val now = monotonicNow()
        context.load.removeExpired(now)
        reporter.nextReport(now, context.load, peers)?.let { send(PeerHint.Load(it)) }
        reporter.nextZoneReport(now, context.load)?.let { send(PeerHint.ZoneLoad(it)) }
        logPeers()
    }

    private fun logPeers() {
        val reporting = context.load.reportingPeers
        if (lacksReports == (reporting * 2 < peers)) return
        lacksReports = !lacksReports
        val message = if (lacksReports) "load of most peers is unknown" else "load of most peers is known"
        EventLog.info(message, "reporting" to reporting, "peers" to peers)
    }

    private companion object {
        /** Adds at most a third to the shortest interval of reports. */
        val CHECK_INTERVAL: Duration = 100.milliseconds
    }
}
