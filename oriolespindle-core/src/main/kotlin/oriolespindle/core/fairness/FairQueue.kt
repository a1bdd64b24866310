package oriolespindle.core.fairness

import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A queue of all teams' waiting requests that starts them with weighted max-min fairness in tokens.
 *
 * This is start-time fair queueing: a team's start tag is the virtual time up to which it was served and advances by
 * cost divided by weight. A team that begins to wait gets at least the start tag of the team that is next. Each
 * decision takes time logarithmic in the number of waiting teams.
 */
public class FairQueue<T>(
    private val settings: FairSettings = FairSettings(),
) {
    private val teams = mutableMapOf<TeamId, TeamQueue<T>>()
    private val byStartTag = TreeSet(compareBy<TeamQueue<T>>({ it.startTag }, { it.lastServed }, { it.team.value }))
    private val byDeadline = TreeSet(compareBy<TeamQueue<T>>({ it.firstStartBy }, { it.team.value }))
    private val rate = ServiceRate(settings.rateWindow, settings.minBusyTime)
    private val expiredEntries = mutableListOf<Expired<T>>()
    private var virtualTime = 0.0
    private var waitingWeight = 0.0
    private var nextSequence = 0L

    /** The number of waiting requests. */
    public var size: Int = 0
        private set

    /** Adds [entry], or refuses it if the queue is full or the request is not expected to start in time. */
    public fun offer(
        now: Timestamp,
        entry: FairEntry<T>,
    ): OfferResult {
        val queue = queue(entry.team)
        advanceRates(now, queue)
        val refusal = refusal(now, queue, entry)
        if (refusal != null) return refusal
        if (!queue.isWaiting) queue.startTag = maxOf(queue.startTag, byStartTag.firstOrNull()?.startTag ?: virtualTime)
        update(queue) { queue.add(entry, nextSequence++) }
        return OfferResult.Queued
    }

    /**
     * Removes and returns the request to start next; requests that should have started before [now] are left to
     * [expire].
     */
    public fun poll(now: Timestamp): PollResult<T> {
        while (byStartTag.isNotEmpty()) {
            val queue = byStartTag.first()
            if (queue.firstStartBy < now) {
                expireFirst(now, queue)
                continue
            }
            rate.advance(now, busy = true)
            queue.rate.advance(now, busy = true)
            return PollResult.Start(start(queue))
        }
        return PollResult.Empty
    }

    /**
     * Removes and returns the requests that can no longer start in time.
     *
     * It should be called on every timer tick and takes time linear in the number of waiting teams.
     */
    public fun expire(now: Timestamp): List<Expired<T>> {
        while (byDeadline.isNotEmpty() && byDeadline.first().firstStartBy < now) expireFirst(now, byDeadline.first())
        for (queue in byStartTag.toList()) {
            advanceRates(now, queue)
            if (settings.refusesUnreachable) expireUnreachable(now, queue)
        }
        val expired = expiredEntries.toList()
        expiredEntries.clear()
        return expired
    }

    /** Corrects the charge of [team] for a request that has started, from its [estimated] to its [actual] cost. */
    public fun settle(
        now: Timestamp,
        team: TeamId,
        estimated: TokenCost,
        actual: TokenCost,
    ) {
        val queue = queue(team)
        advanceRates(now, queue)
        val correction = queue.estimator.settle(estimated, actual)
        update(queue) { queue.startTag += correction / queue.weight }
    }

    /**
     * Sets the weights of teams. Teams that are not in [weights] keep theirs, which is 1 at first.
     *
     * @throws IllegalArgumentException if a weight is not positive.
     */
    public fun setWeights(
        now: Timestamp,
        weights: Map<TeamId, Double>,
    ) {
        for ((team, weight) in weights) {
            require(weight > 0.0) { "weight of team $team is $weight, must be positive" }
            val queue = queue(team)
            advanceRates(now, queue)
            update(queue) {
                // The lead of the team over the virtual time stays the same in tokens. Otherwise a team that was served
                // with a small weight would wait for a long time after its weight has grown.
                queue.startTag = virtualTime + (queue.startTag - virtualTime) * queue.weight / weight
                queue.weight = weight
            }
        }
    }

    /** Returns the expected tokens of a request of [team], based on its requests that have ended. */
    public fun expectedTokens(
        team: TeamId,
        cost: TokenCost,
    ): Double = queue(team).estimator.expectedTokens(cost)

    /** Returns the request that [poll] would start next, which may be past its time, or null if none is waiting. */
    public fun peek(): FairEntry<T>? = byStartTag.firstOrNull()?.first()

    /** Returns the request that would start last if no other one arrived, or null if none is waiting. */
    public fun last(): FairEntry<T>? = byStartTag.maxByOrNull { it.startTag + it.waitingCost / it.weight }?.last()

    /** Removes [entry], which is not charged, and returns whether it was waiting. */
    public fun remove(
        now: Timestamp,
        entry: FairEntry<T>,
    ): Boolean {
        val queue = teams[entry.team] ?: return false
        advanceRates(now, queue)
        var isRemoved = false
        update(queue) { isRemoved = queue.remove(entry) }
        return isRemoved
    }

    /**
     * Returns the expected time to serve the waiting requests of [team] that start before one with [startBy], and also
     * one of [cost] unless it is null; null if no rate has been measured.
     */
    public fun expectedWait(
        now: Timestamp,
        team: TeamId,
        startBy: Timestamp,
        cost: TokenCost? = null,
    ): Duration? {
        val queue = queue(team)
        advanceRates(now, queue)
        val tokens = queue.costBefore(startBy) + (cost?.let(queue.estimator::expectedTokens) ?: 0.0)
        if (tokens <= 0.0) return Duration.ZERO
        val isMeasured = queue.rate.perSecond != null || rate.perSecond != null
        return if (isMeasured) estimatedTime(queue, tokens) else null
    }

    /** Returns the expected tokens of the waiting requests of each team. */
    public fun waitingTokens(): Map<TeamId, Double> = byStartTag.associate { it.team to it.waitingCost }

    private fun queue(team: TeamId): TeamQueue<T> = teams.getOrPut(team) { TeamQueue(team, settings) }

    private fun refusal(
        now: Timestamp,
        queue: TeamQueue<T>,
        entry: FairEntry<T>,
    ): OfferResult.Refused? {
        val reserved = settings.maxEntries / 2 / teams.size
        val hasRoom = size < settings.maxEntries / 2 || queue.size < reserved
        if (queue.size >= entry.queueLength || !hasRoom) {
            return OfferResult.Refused(
                RefusalReason.QUEUE_FULL,
                estimatedTime(queue, queue.estimator.expectedTokens(entry.cost)),
            )
        }
        if (!settings.refusesUnreachable) return null
        val wait = estimatedTime(queue, queue.costBefore(entry.startBy))
        val lateness = now + wait - entry.startBy
        if (lateness > Duration.ZERO) {
            return OfferResult.Refused(
                RefusalReason.DEADLINE_UNREACHABLE,
                lateness.coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
            )
        }
        return null
    }

    /** Returns the expected time to serve [cost] of the team, 0 if no rate has been measured. */
    private fun estimatedTime(
        queue: TeamQueue<T>,
        cost: Double,
    ): Duration {
        val shareOfAll = rate.perSecond?.let { it * queue.weight / maxOf(waitingWeight, queue.weight) }
        val perSecond = queue.rate.perSecond ?: shareOfAll ?: return Duration.ZERO
        if (perSecond <= 0.0) return MAX_RETRY_DELAY
        return (cost / perSecond * NANOS_PER_SECOND).toLong().nanoseconds.coerceAtMost(MAX_RETRY_DELAY)
    }

    private fun start(queue: TeamQueue<T>): FairEntry<T> {
        virtualTime = maxOf(virtualTime, queue.startTag)
        val entry = queue.first()
        update(queue) {
            queue.removeFirst()
            val charge = queue.estimator.charge(entry.cost)
            rate.onServed(charge)
            queue.rate.onServed(charge)
            queue.startTag += charge / queue.weight
            queue.lastServed = nextSequence++
        }
        return entry
    }

    private fun expireFirst(
        now: Timestamp,
        queue: TeamQueue<T>,
    ) {
        advanceRates(now, queue)
        val retryAfter = estimatedTime(queue, queue.costBefore(queue.firstStartBy))
        update(queue) {
            expiredEntries += Expired(queue.removeFirst(), retryAfter.coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY))
        }
    }

    /** Expires the last requests of a team whose service has become too slow for them to start in time. */
    private fun expireUnreachable(
        now: Timestamp,
        queue: TeamQueue<T>,
    ) {
        while (queue.size > 1) {
            val last = queue.last()
            val wait = estimatedTime(queue, queue.costBefore(last.startBy) - queue.estimator.expectedTokens(last.cost))
            val lateness = now + wait / settings.earlyRefusalFactor - last.startBy
            if (lateness <= Duration.ZERO) return
            update(queue) {
                expiredEntries += Expired(queue.removeLast(), lateness.coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY))
            }
        }
    }

    private fun advanceRates(
        now: Timestamp,
        queue: TeamQueue<T>,
    ) {
        rate.advance(now, busy = size > 0)
        queue.rate.advance(now, busy = queue.isWaiting)
    }

    /** Runs [change] on [queue] and updates its position in [byStartTag] and [byDeadline]. */
    private fun update(
        queue: TeamQueue<T>,
        change: () -> Unit,
    ) {
        val sizeBefore = queue.size
        if (queue.isWaiting) {
            byStartTag.remove(queue)
            byDeadline.remove(queue)
            waitingWeight -= queue.weight
        }
        change()
        if (queue.isWaiting) {
            byStartTag.add(queue)
            byDeadline.add(queue)
            waitingWeight += queue.weight
        }
        if (byStartTag.isEmpty()) waitingWeight = 0.0
        size += queue.size - sizeBefore
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        val MIN_RETRY_DELAY = 10.milliseconds
        val MAX_RETRY_DELAY = 10.seconds
    }
}
