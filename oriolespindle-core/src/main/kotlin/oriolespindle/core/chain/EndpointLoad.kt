package oriolespindle.core.chain

import oriolespindle.core.time.Timestamp
import kotlin.math.exp
import kotlin.math.max
import kotlin.time.Duration

/**
 * The load of one endpoint as seen by one instance.
 *
 * The sessions of this instance are known exactly, those of other instances only from delayed load reports.
 */
internal class EndpointLoad(
    var spec: EndpointSpec,
    private val settings: ChainSelectorSettings,
) {
    var availability: EndpointAvailability = EndpointAvailability.Serving()
    private val ownHistory = ArrayDeque<OwnCount>().apply { add(OwnCount(Timestamp(Long.MIN_VALUE), 0)) }
    private val ownByPriority = HashMap<Int, Int>()
    private var reportedAt: Timestamp? = null
    private var reportedOthers = 0.0
    private var meanOthers = 0.0
    private var measuredRate = Double.NaN

    /** The part of its planned work that this endpoint may receive; 0 if it must not receive any. */
    val weight: Double get() = (availability as? EndpointAvailability.Serving)?.weight ?: 0.0

    val isSuspect: Boolean get() = availability == EndpointAvailability.Suspect

    val own: Int get() = ownHistory.last().count

    fun onStarted(
        now: Timestamp,
        priority: Int,
    ) {
        ownByPriority.merge(priority, 1, Int::plus)
        recordOwnCount(now, own + 1)
    }

    fun onFinished(
        now: Timestamp,
        priority: Int,
    ) {
        ownByPriority.computeIfPresent(priority) { _, count -> (count - 1).takeIf { it > 0 } }
        recordOwnCount(now, own - 1)
    }

    private fun recordOwnCount(
        now: Timestamp,
        count: Int,
    ) {
        ownHistory.add(OwnCount(now, count))
        while (ownHistory.size > 1 && now - ownHistory[1].since > settings.maxReportAge) ownHistory.removeFirst()
    }

    fun onReport(report: LoadReport) {
        val last = reportedAt
        if (last != null && report.measuredAt <= last) return
        val ownThen = ownHistory.last { it.since <= report.measuredAt }.count
        reportedOthers = max(0, report.active + report.queued - ownThen).toDouble()
        meanOthers = if (last == null) reportedOthers else meanOthers + REPORT_SMOOTHING * (reportedOthers - meanOthers)
        reportedAt = report.measuredAt
        measuredRate = if (report.queued > 0 && report.tokensPerSecond > 0) report.tokensPerSecond else Double.NaN
    }

    /** Returns the estimated sessions at the endpoint, weighted by how much they delay a session of [priority]. */
    fun sessions(
        now: Timestamp,
        priority: Int,
        sessionTime: Duration,
    ): Double = ownSessions(priority) + otherSessions(now, sessionTime)

    private fun ownSessions(priority: Int): Double {
        if (ownByPriority.size <= 1 && priority in ownByPriority) return own.toDouble()
        var sum = 0.0
        for ((other, count) in ownByPriority) {
            sum += if (other >= priority) count.toDouble() else count * settings.lowerPriorityShare
        }
        return sum
    }

    // The sessions that a report counted end after about one session time, so the estimate decays to the mean.
    private fun otherSessions(
        now: Timestamp,
        sessionTime: Duration,
    ): Double {
        val at = reportedAt ?: return 0.0
        val age = now - at
        if (age > settings.maxReportAge) return meanOthers
        return meanOthers + (reportedOthers - meanOthers) * exp(-(age / sessionTime))
    }

    /** Returns the current token rate of the endpoint, reduced during slow start. */
    fun rate(): Double {
        val base = if (measuredRate.isNaN()) spec.tokensPerSecond else minOf(measuredRate, spec.tokensPerSecond)
        return base * max(weight, MIN_WEIGHT)
    }

    private class OwnCount(
        val since: Timestamp,
        val count: Int,
    )

    private companion object {
        /** The smoothing factor of the moving average of load reports. */
        const val REPORT_SMOOTHING = 0.2

        /** Keeps the expected time at a suspect endpoint, whose weight is 0, finite. */
        const val MIN_WEIGHT = 0.01
    }
}
