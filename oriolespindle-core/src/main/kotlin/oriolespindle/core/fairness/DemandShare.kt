package oriolespindle.core.fairness

import kotlinx.serialization.Serializable
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.time.Timestamp
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The demand of one team at one instance. */
@Serializable
public data class TeamDemand(
    public val team: TeamId,
    public val tokensPerSecond: Double,
)

/** The demand at one instance, which it reports to its peers; [sequence] grows with each report. */
@Serializable
public data class DemandReport(
    public val sequence: Long,
    public val demands: List<TeamDemand>,
)

/**
 * Settings of [DemandShare].
 *
 * @property window the time constant of the exponential decay with which demand is measured.
 * @property drainTime the time within which waiting requests should be served.
 * @property reportTtl how long the last report of a silent instance counts.
 * @property minWeightFraction the fraction of a team's weight that any instance may use, so that a first request does
 *   not wait.
 */
public data class DemandSettings(
    public val window: Duration = 500.milliseconds,
    public val drainTime: Duration = 200.milliseconds,
    public val reportTtl: Duration = 3.seconds,
    public val minWeightFraction: Double = 0.001,
)

/**
 * Divides each team's weight between instances in proportion to the team's demand at each of them.
 *
 * A team that sends through many instances thus has the same total weight as one that sends through a single instance.
 */
public class DemandShare(
    private val self: InstanceId,
    private val settings: DemandSettings = DemandSettings(),
) {
    private val meters = mutableMapOf<TeamId, RateMeter>()
    private var waitingByTeam = mapOf<TeamId, Double>()
    private val reports = mutableMapOf<InstanceId, PeerReport>()
    private var sequence = 0L

    /**
     * Counts a request of [team] that has arrived at this instance and is expected to use [tokens].
     *
     * [tokens] comes from [FairQueue.expectedTokens]; counting the maximum that a request may use would favour
     * instances whose teams set high limits.
     */
    public fun onOffered(
        now: Timestamp,
        team: TeamId,
        tokens: Double,
    ) {
        meters.getOrPut(team) { RateMeter(settings.window) }.add(now, tokens)
    }

    /**
     * Returns the report to send to all peers, about every 200 ms.
     *
     * [waitingTokens] comes from [FairQueue.waitingTokens]. It counts as demand, so that a team's weight moves to where
     * its requests wait.
     */
    public fun report(
        now: Timestamp,
        waitingTokens: Map<TeamId, Double>,
    ): DemandReport {
        waitingByTeam = waitingTokens
        meters.entries.removeIf { (team, meter) -> meter.rate(now) < NEGLIGIBLE_RATE && team !in waitingByTeam }
        return DemandReport(++sequence, meters.keys.map { TeamDemand(it, ownDemand(now, it)) })
    }

    /** Stores the [report] of the instance [from]; a duplicate or outdated report is ignored. */
    public fun onReport(
        now: Timestamp,
        from: InstanceId,
        report: DemandReport,
    ) {
        val known = reports[from]
        if (from == self || (known != null && known.sequence >= report.sequence)) return
        reports[from] = PeerReport(now, report.sequence, report.demands.associate { it.team to it.tokensPerSecond })
    }

    /** Returns the weights of teams at this instance, given their [contractWeights]. */
    public fun weights(
        now: Timestamp,
        contractWeights: Map<TeamId, Double>,
    ): Map<TeamId, Double> {
        val totals = totals(now)
        return contractWeights.mapValues { (team, weight) -> weight * localFraction(now, team, totals) }
    }

    /**
     * Returns the fraction of [capacity], in tokens per second, that this instance should use when all of it is in
     * demand.
     *
     * The capacity is divided between the teams with weighted max-min fairness. Of each team's share, this instance
     * uses the fraction of the team's demand that is at this instance.
     */
    public fun capacityPart(
        now: Timestamp,
        contractWeights: Map<TeamId, Double>,
        capacity: Double,
    ): Double {
        val totals = totals(now)
        val shares = MaxMin.divide(capacity, totals, contractWeights)
        val used = shares.values.sum()
        if (used <= 0.0) return 1.0 / (liveReports(now).size + 1)
        return shares.entries.sumOf { (team, share) -> share * localFraction(now, team, totals) } / used
    }

    private fun localFraction(
        now: Timestamp,
        team: TeamId,
        totals: Map<TeamId, Double>,
    ): Double {
        val total = totals[team] ?: 0.0
        if (total <= 0.0) return 1.0
        val own = ownDemand(now, team)
        return (own / total).coerceIn(settings.minWeightFraction, 1.0)
    }

    private fun ownDemand(
        now: Timestamp,
        team: TeamId,
    ): Double {
        val backlog = (waitingByTeam[team] ?: 0.0) / settings.drainTime.toDouble(DurationUnit.SECONDS)
        return (meters[team]?.rate(now) ?: 0.0) + backlog
    }

    private fun totals(now: Timestamp): Map<TeamId, Double> {
        val totals = mutableMapOf<TeamId, Double>()
        for (team in meters.keys) totals.merge(team, ownDemand(now, team), Double::plus)
        for (report in liveReports(now)) {
            for ((team, rate) in report.demands) totals.merge(team, rate, Double::plus)
        }
        return totals
    }

    private fun liveReports(now: Timestamp): Collection<PeerReport> {
        reports.values.removeIf { now - it.at > settings.reportTtl }
        return reports.values
    }

    private class PeerReport(
        val at: Timestamp,
        val sequence: Long,
        val demands: Map<TeamId, Double>,
    )

    /** A rate with exponential decay of older amounts. */
    private class RateMeter(
        private val window: Duration,
    ) {
        private var level = 0.0
        private var at: Timestamp? = null

        fun add(
            now: Timestamp,
            amount: Double,
        ) {
            level = rate(now) + amount / window.toDouble(DurationUnit.SECONDS)
            at = now
        }

        fun rate(now: Timestamp): Double = at?.let { level * exp(-((now - it) / window)) } ?: 0.0
    }

    private companion object {
        const val NEGLIGIBLE_RATE = 1e-3
    }
}
