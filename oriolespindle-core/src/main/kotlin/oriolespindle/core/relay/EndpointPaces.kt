package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of [EndpointPaces]. */
public data class PaceSettings(
    /** An endpoint whose steps take this many times their usual time or more counts as slow; reports vary a little. */
    public val minSlowPace: Double = 1.5,
    /** A report says how an endpoint was some hundred milliseconds before, so asking more often tells nothing new. */
    public val queryInterval: Duration = 1.seconds,
    /** Covers three reports of a slow endpoint; after it the endpoint is tried again. */
    public val reportTtl: Duration = 3_500.milliseconds,
    /** Bounds what one instance asks in a second, about one path, so that a large fleet does not flood its engines. */
    public val maxQueriesPerSecond: Int = 14,
)

/**
 * The endpoints that are known to work slowly, from their own reports.
 *
 * Answers load patterns in which one engine turns slow in the middle of paths: all streams through it are late, and the
 * first endpoint of their path is not the cause. Endpoints are asked only when streams are late, and again while they
 * are slow.
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

    /** Returns how many times its usual time a step of [endpoint] takes, 1 unless it is known to be slow. */
    public fun factor(
        now: Timestamp,
        endpoint: EndpointId,
    ): Double = reports[endpoint]?.takeIf { isSlow(now, it) }?.pace ?: 1.0

    /** Returns those of [suspects] to ask for a report now, and counts them as asked. */
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

    /** [endpoint] reports that its steps take [pace] times their usual time. */
    public fun onReport(
        now: Timestamp,
        endpoint: EndpointId,
        pace: Double,
    ) {
        reports[endpoint] = Report(pace, now)
    }

    /** Returns the endpoints that are slow by what is known. */
    public fun slowEndpoints(now: Timestamp): List<EndpointId> = reports.filterValues { isSlow(now, it) }.keys.sorted()

    /** Forgets endpoints that are not in [registered]. */
    public fun retain(registered: Set<EndpointId>) {
        reports.keys.retainAll(registered)
        queriedAt.keys.retainAll(registered)
    }

    private fun isSlow(
        now: Timestamp,
        report: Report,
    ): Boolean = report.pace >= settings.minSlowPace && now - report.at < settings.reportTtl
}
