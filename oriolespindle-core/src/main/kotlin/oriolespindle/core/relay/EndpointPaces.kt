package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of [EndpointPaces]. */
public data class PaceSettings(
    /** The pace from which an endpoint counts as slow; it is above 1 because reports vary a little. */
    public val minSlowPace: Double = 1.5,
    /**
     * The minimum time between two queries of an endpoint.
     *
     * A report describes the endpoint some hundred milliseconds earlier, so more frequent queries tell nothing new.
     */
    public val queryInterval: Duration = 1.seconds,
    /** How long a report is used; covers three reports of a slow endpoint, which is tried again afterwards. */
    public val reportTtl: Duration = 3_500.milliseconds,
    /** The most queries per second of one instance, about one path, so that a large fleet cannot flood its engines. */
    public val maxQueriesPerSecond: Int = 14,
)

/**
 * Tracks the paces that endpoints report, where a pace is the duration of a step relative to its usual duration.
 *
 * It finds an engine that turns slow in the middle of paths: all streams through it are late, although the first
 * endpoint of their path is not the cause. Endpoints are queried only when streams are late, and again while they are
 * slow.
 */
public class EndpointPaces(
    private val settings: PaceSettings = PaceSettings(),
) {
    private class Report(
        val pace: Double,
        val at: Timestamp,
    )

    private val reports = HashMap<EndpointId, Report>()
    private val queriedAt = HashMap<EndpointId, Timestamp>()
    private var secondStart: Timestamp? = null
    private var queriesInSecond = 0

    /** Returns the pace of [endpoint], or 1 unless it is known to be slow. */
    public fun factor(
        now: Timestamp,
        endpoint: EndpointId,
    ): Double = reports[endpoint]?.takeIf { isSlow(now, it) }?.pace ?: 1.0

    /** Returns those of [suspects] to query for a report now, and records them as queried. */
    public fun selectForQuery(
        now: Timestamp,
        suspects: List<EndpointId>,
    ): List<EndpointId> {
        val start = secondStart
        if (start == null || now - start >= 1.seconds) {
            secondStart = now
            queriesInSecond = 0
        }
        val due = suspects.filter { id -> queriedAt[id]?.let { now - it >= settings.queryInterval } ?: true }
        val chosen = due.take((settings.maxQueriesPerSecond - queriesInSecond).coerceAtLeast(0))
        queriesInSecond += chosen.size
        chosen.forEach { queriedAt[it] = now }
        return chosen
    }

    /** Records the [pace] that [endpoint] reports. */
    public fun onReport(
        now: Timestamp,
        endpoint: EndpointId,
        pace: Double,
    ) {
        reports[endpoint] = Report(pace, now)
    }

    /** Returns the endpoints whose latest report is current and slow. */
    public fun slowEndpoints(now: Timestamp): List<EndpointId> = reports.filterValues { isSlow(now, it) }.keys.sorted()

    /** Removes the reports of endpoints that are not in [registered]. */
    public fun retain(registered: Set<EndpointId>) {
        reports.keys.retainAll(registered)
        queriedAt.keys.retainAll(registered)
    }

    private fun isSlow(
        now: Timestamp,
        report: Report,
    ): Boolean = report.pace >= settings.minSlowPace && now - report.at < settings.reportTtl
}
