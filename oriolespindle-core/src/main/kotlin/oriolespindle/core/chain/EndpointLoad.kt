package oriolespindle.core.chain

import oriolespindle.core.time.Timestamp
import kotlin.math.exp
import kotlin.math.max
import kotlin.time.Duration

/** The load of one endpoint as one instance knows it: its own work exactly, that of others from lagging reports. */
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

    /** The part of planned work that this endpoint may receive, 0 when it may receive none. */
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

    /** The sessions that share the endpoint with a new one of [priority]. */
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

    // Work that a report counted ends after about one session time and is replaced by the usual amount.
    private fun otherSessions(
        now: Timestamp,
        sessionTime: Duration,
    ): Double {
        val at = reportedAt ?: return 0.0
        val age = now - at
        if (age > settings.maxReportAge) return meanOthers
        return meanOthers + (reportedOthers - meanOthers) * exp(-(age / sessionTime))
    }

    /** The rate of tokens that the endpoint offers now, slow start included. */
    fun rate(): Double {
        val base = if (measuredRate.isNaN()) spec.tokensPerSecond else minOf(measuredRate, spec.tokensPerSecond)
        return base * max(weight, MIN_WEIGHT)
    }

    private class OwnCount(
        val since: Timestamp,
        val count: Int,
    )

    private companion object {
        /** The share of a new report in the mean of all reports. */
        const val REPORT_SMOOTHING = 0.2

        /** Keeps the estimate for a suspect endpoint finite. */
        const val MIN_WEIGHT = 0.01
    }
}
