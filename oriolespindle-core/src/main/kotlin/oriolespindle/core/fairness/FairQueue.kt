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
 * Waiting requests of all teams, which start in weighted max-min order of their cost in tokens.
 *
 * This is start-time fair queueing: a team's place is the virtual time up to which it was served, which advances by
 * cost divided by weight. A team that starts to wait takes the place of the team that is next. Each decision takes a
 * time logarithmic in the number of waiting teams.
 */
public class FairQueue<T>(
    private val settings: FairSettings = FairSettings(),
) {
    private val teams = mutableMapOf<TeamId, TeamQueue<T>>()
    private val order = TreeSet(compareBy<TeamQueue<T>>({ it.tag }, { it.turn }, { it.team.value }))
    private val deadlines = TreeSet(compareBy<TeamQueue<T>>({ it.firstStartBy }, { it.team.value }))
    private val rate = ServiceRate(settings.rateWindow, settings.minimumSample)
    private val overdue = mutableListOf<Expired<T>>()
    private var virtualTime = 0.0
    private var waitingWeight = 0.0
    private var nextOrder = 0L

    /** The number of waiting requests. */
    public var size: Int = 0
        private set

    /** Adds [entry], or refuses it if the queue is full or if it is not expected to start in time. */
    public fun offer(
        now: Timestamp,
        entry: FairEntry<T>,
    ): OfferResult {
        val queue = queue(entry.team)
        measure(now, queue)
        val refusal = refusal(now, queue, entry)
        if (refusal != null) return refusal
        if (!queue.isWaiting) queue.tag = maxOf(queue.tag, order.firstOrNull()?.tag ?: virtualTime)
        update(queue) { queue.add(entry, nextOrder++) }
        return OfferResult.Queued
    }

    /** Takes the request that may start next; requests that should have started before [now] are left to [expire]. */
    public fun poll(now: Timestamp): PollResult<T> {
        while (order.isNotEmpty()) {
            val queue = order.first()
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
     * It is meant to be called with every timer tick, and takes a time linear in the number of waiting teams.
     */
    public fun expire(now: Timestamp): List<Expired<T>> {
        while (deadlines.isNotEmpty() && deadlines.first().firstStartBy < now) expireFirst(now, deadlines.first())
        for (queue in order.toList()) {
            measure(now, queue)
            dropHopeless(now, queue)
        }
        val expired = overdue.toList()
        overdue.clear()
        return expired
    }

    /** Corrects what [team] was charged for a request that has started, from its [estimated] to its [actual] cost. */
    public fun settle(
        now: Timestamp,
        team: TeamId,
        estimated: TokenCost,
        actual: TokenCost,
    ) {
        val queue = queue(team)
        measure(now, queue)
        val correction = queue.estimate.settle(estimated, actual)
        update(queue) { queue.tag += correction / queue.weight }
    }

    /** Sets the weights of teams; those that are not in [weights] keep theirs, which is 1 at first. */
    public fun weights(
        now: Timestamp,
        weights: Map<TeamId, Double>,
    ) {
        for ((team, weight) in weights) {
            require(weight > 0.0) { "weight of team $team is $weight, must be positive" }
            val queue = queue(team)
            measure(now, queue)
            update(queue) {
                // What the team is ahead stays the same in tokens. Otherwise a team that was served with a small weight
                // would wait for a long time after its weight has grown.
                queue.tag = virtualTime + (queue.tag - virtualTime) * queue.weight / weight
                queue.weight = weight
            }
        }
    }

    /** Returns the tokens that a request of [team] will probably use, judging by those that have ended. */
    public fun expected(
        team: TeamId,
        cost: TokenCost,
    ): Double = queue(team).estimate.expected(cost)

    /** Returns the tokens that the waiting requests of each team will probably use. */
    public fun waiting(): Map<TeamId, Double> = order.associate { it.team to it.waitingCost }

    private fun queue(team: TeamId): TeamQueue<T> = teams.getOrPut(team) { TeamQueue(team, settings) }

    private fun refusal(
        now: Timestamp,
        queue: TeamQueue<T>,
        entry: FairEntry<T>,
    ): OfferResult.Refused? {
        val reserved = settings.maximumEntries / 2 / teams.size
        val hasRoom = size < settings.maximumEntries / 2 || queue.size < reserved
        if (queue.size >= entry.queueLength || !hasRoom) {
            return OfferResult.Refused(RefusalReason.QUEUE_FULL, timeFor(queue, queue.estimate.expected(entry.cost)))
        }
        val wait = timeFor(queue, queue.costBefore(entry.startBy))
        val late = now + wait - entry.startBy
        if (late > Duration.ZERO) {
            return OfferResult.Refused(RefusalReason.DEADLINE_UNREACHABLE, late.coerceIn(MINIMUM_RETRY, MAXIMUM_RETRY))
        }
        return null
    }

    /** Returns how long the team will probably take for [cost], 0 if no rate has been measured. */
    private fun timeFor(
        queue: TeamQueue<T>,
        cost: Double,
    ): Duration {
        val shareOfAll = rate.perSecond?.let { it * queue.weight / maxOf(waitingWeight, queue.weight) }
        val perSecond = queue.rate.perSecond ?: shareOfAll ?: return Duration.ZERO
        if (perSecond <= 0.0) return MAXIMUM_RETRY
        return (cost / perSecond * NANOS).toLong().nanoseconds.coerceAtMost(MAXIMUM_RETRY)
    }

    private fun start(queue: TeamQueue<T>): FairEntry<T> {
        virtualTime = maxOf(virtualTime, queue.tag)
        val entry = queue.first()
        update(queue) {
            queue.removeFirst()
            val charge = queue.estimate.charge(entry.cost)
            rate.serve(charge)
            queue.rate.serve(charge)
            queue.tag += charge / queue.weight
            queue.turn = nextOrder++
        }
        return entry
    }

    private fun expireFirst(
        now: Timestamp,
        queue: TeamQueue<T>,
    ) {
        measure(now, queue)
        val retryAfter = timeFor(queue, queue.costBefore(queue.firstStartBy))
        update(queue) { overdue += Expired(queue.removeFirst(), retryAfter.coerceIn(MINIMUM_RETRY, MAXIMUM_RETRY)) }
    }

    /** Drops the last requests of a team that has become so slow that they would only wait in vain. */
    private fun dropHopeless(
        now: Timestamp,
        queue: TeamQueue<T>,
    ) {
        while (queue.size > 1) {
            val last = queue.last()
            val wait = timeFor(queue, queue.costBefore(last.startBy) - queue.estimate.expected(last.cost))
            val late = now + wait / settings.doubt - last.startBy
            if (late <= Duration.ZERO) return
            update(queue) { overdue += Expired(queue.removeLast(), late.coerceIn(MINIMUM_RETRY, MAXIMUM_RETRY)) }
        }
    }

    private fun measure(
        now: Timestamp,
        queue: TeamQueue<T>,
    ) {
        rate.advance(now, busy = size > 0)
        queue.rate.advance(now, busy = queue.isWaiting)
    }

    /** Runs [change] on [queue], which may alter its place in the orders. */
    private fun update(
        queue: TeamQueue<T>,
        change: () -> Unit,
    ) {
        val sizeBefore = queue.size
        if (queue.isWaiting) {
            order.remove(queue)
            deadlines.remove(queue)
            waitingWeight -= queue.weight
        }
        change()
        if (queue.isWaiting) {
            order.add(queue)
            deadlines.add(queue)
            waitingWeight += queue.weight
        }
        if (order.isEmpty()) waitingWeight = 0.0
        size += queue.size - sizeBefore
    }

    private companion object {
        const val NANOS = 1e9
        val MINIMUM_RETRY = 10.milliseconds
        val MAXIMUM_RETRY = 10.seconds
    }
}
