package oriolespindle.core.chain

import com.dynatrace.hash4j.hashing.Hashing
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A chain that can be selected, with the state of its endpoints and links. */
internal class ChainCandidate(
    val chain: Chain,
    private val plannedRate: Double,
    private val stages: List<EndpointLoad>,
    private val hops: List<LinkState>,
) {
    private val hash = Hashing.komihash5_0().hashCharsToLong(chain.stages.joinToString())

    fun isServing(): Boolean = stages.all { it.weight > 0 }

    /** Returns the planned rate, reduced during slow start of a stage and 0 if a stage must not receive work. */
    fun weightedRate(): Double = plannedRate * stages.minOf { it.weight }

    /** Returns whether no stage runs on an endpoint that [query] avoids. */
    fun mayServe(query: RouteQuery): Boolean = query.avoid.isEmpty() || chain.stages.none { it.endpoint in query.avoid }

    /**
     * Returns the score of this chain for [prefix] by weighted rendezvous hashing.
     *
     * All instances compute the same scores. The part of the prefixes for which a chain has the highest score is
     * proportional to its planned rate.
     */
    fun affinity(prefix: PrefixHash): Double {
        val mixed = Hashing.komihash5_0().hashLongLongToLong(hash, prefix.value)
        val uniform = ((mixed ushr DISCARDED_HASH_BITS) + 0.5) * UNIT_INTERVAL_STEP
        return plannedRate / -ln(uniform)
    }

    /** Returns the number of sessions divided by the token rate, at the stage where this is highest. */
    fun load(
        now: Timestamp,
        sessionTime: Duration,
    ): Double = stages.maxOf { it.sessions(now, LOWEST_PRIORITY, sessionTime) / it.rate() }

    /** Returns what one session adds to [load] at the slowest stage. */
    fun singleSessionLoad(): Double = 1 / stages.minOf { it.rate() }

    /**
     * Returns the expected seconds for one token: the time at the slowest stage and the latency of links and zones.
     *
     * Sessions queue at the slowest stage only, because the other stages process tokens faster than it.
     */
    fun secondsForToken(
        now: Timestamp,
        query: RouteQuery,
        sessionTime: Duration,
        crossZone: Duration,
    ): Double {
        var slowest = 0.0
        for (stage in stages) {
            val share = (stage.sessions(now, query.priority, sessionTime) + 1) / stage.rate()
            if (share > slowest) slowest = share
        }
        var latency = 0.0
        for (hop in hops) latency += hop.latency(now).toDouble(DurationUnit.SECONDS)
        return slowest + latency + zoneCrossings(query.zone) * crossZone.toDouble(DurationUnit.SECONDS)
    }

    private fun zoneCrossings(zone: ZoneId): Int {
        val entry = if (stages.first().spec.zone == zone) 0 else 1
        val exit = if (stages.last().spec.zone == zone) 0 else 1
        return entry + exit
    }

    private companion object {
        const val LOWEST_PRIORITY = Int.MIN_VALUE

        /** A double has 53 significant bits, so 11 of the 64 bits of a hash are dropped. */
        const val DISCARDED_HASH_BITS = 11
        const val UNIT_INTERVAL_STEP = 1.0 / (1L shl 53)
    }
}
