package oriolespindle.core.fairness

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.time.Timestamp
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A team in the simulation.
 *
 * @property demand the demand in tokens per second.
 * @property size the tokens of a request.
 * @property overestimate the ratio of the maximum number of generated tokens to the number that is generated.
 * @property spread the relative load of the team at each instance.
 */
internal class SimulatedTeam(
    val name: String,
    val weight: Double,
    val demand: Double,
    val size: Int,
    val spread: List<Double>,
    val overestimate: Int = 1,
) {
    val id = TeamId(name)
    val waits = mutableListOf<Duration>()
    val servedBySecond = mutableMapOf<Long, Long>()
    val demandBySecond = mutableMapOf<Long, Long>()
    var waiting = 0L
    var refused = 0
    var pending = 0.0

    fun served(
        from: Int,
        to: Int,
    ): Long = (from until to).sumOf { servedBySecond[it.toLong()] ?: 0 }
}

/**
 * Simulated instances with fair queues, or one FIFO queue, in front of slots that all process requests at the same
 * rate.
 */
internal class FairFleet(
    seed: Long,
    private val teams: List<SimulatedTeam>,
    instances: Int = 9,
    private val slots: Int = 400,
    private val isFair: Boolean = true,
    private val queueLength: Int = 100,
) {
    private class Call(
        val team: SimulatedTeam,
        val actual: TokenCost,
        val estimated: TokenCost,
        val at: Timestamp,
    )

    private class Node(
        index: Int,
    ) {
        val id = InstanceId("i$index")
        val queue = FairQueue<Call>()
        val demand = DemandShare(id)
        var capacityShare = 1.0
        var pass = 0.0
    }

    private class Completion(
        val at: Timestamp,
        val node: Node,
        val call: Call,
    )

    val capacity = slots * TOKENS_PER_SLOT
    private val random = SplittableRandom(seed)
    private val weights = teams.associate { it.id to it.weight }
    private val nodes = List(instances, ::Node)
    private val fifo = ArrayDeque<Pair<Node, Call>>()
    private val running = PriorityQueue<Completion>(compareBy { it.at })
    private var now = Timestamp.ZERO
    private var pass = 0.0

    fun run(time: Duration) {
        val end = Timestamp.ZERO + time
        while (now < end) {
            now += 1.milliseconds
            while (running.isNotEmpty() && running.peek().at <= now) finish(running.poll())
            teams.forEach(::arrive)
            if (now.nanos % 200_000_000 == 0L) exchangeDemand()
            if (now.nanos % 100_000_000 == 0L) expire()
            while (running.size < slots) if (!startNext()) break
        }
    }

    private fun arrive(team: SimulatedTeam) {
        // Arrivals vary by up to half of the mean from one step to the next.
        team.pending += team.demand / 1000 * (0.5 + random.nextDouble())
        while (team.pending >= team.size) {
            team.pending -= team.size
            val node = nodes[pick(team.spread)]
            val actual = TokenCost(team.size / 2, team.size - team.size / 2)
            val call = Call(team, actual, actual.copy(generated = actual.generated * team.overestimate), now)
            demand(team, team.size.toLong())
            node.demand.onOffered(now, team.id, node.queue.expectedTokens(team.id, call.estimated))
            offer(node, call)
        }
    }

    private fun demand(
        team: SimulatedTeam,
        tokens: Long,
    ) {
        team.demandBySecond.merge(now.nanos / 1_000_000_000, tokens, Long::plus)
    }

    private fun offer(
        node: Node,
        call: Call,
    ) {
        val entry = FairEntry(call.team.id, call.estimated, now + 2.seconds, queueLength, call)
        val isQueued =
            when {
                isFair -> node.queue.offer(now, entry) is OfferResult.Queued
                else -> fifo.size < FIFO_LENGTH && fifo.add(node to call)
            }
        if (isQueued) call.team.waiting += call.actual.total else call.team.refused++
    }

    private fun pick(spread: List<Double>): Int {
        var left = random.nextDouble() * spread.sum()
        for ((i, part) in spread.withIndex()) {
            left -= part
            if (left <= 0) return i
        }
        return spread.lastIndex
    }

    private fun exchangeDemand() {
        for (node in nodes) {
            val report = node.demand.report(now, node.queue.waitingTokens())
            nodes.forEach { it.demand.onReport(now, node.id, report) }
        }
        for (node in nodes) {
            node.queue.setWeights(now, node.demand.weights(now, weights))
            node.capacityShare = node.demand.capacityPart(now, weights, capacity).coerceAtLeast(1e-3)
        }
    }

    private fun expire() {
        for (expired in nodes.flatMap { it.queue.expire(now) }) {
            val call = expired.entry.payload
            call.team.refused++
            call.team.waiting -= call.actual.total
        }
    }

    /**
     * Starts a request of the instance that has used the least of its share of the capacity; returns false if none
     * waits.
     */
    private fun startNext(): Boolean {
        if (!isFair) {
            val (node, call) = fifo.removeFirstOrNull() ?: return false
            start(node, call)
            return true
        }
        val node = nodes.filter { it.queue.size > 0 }.minByOrNull { maxOf(it.pass, pass) } ?: return false
        val result = node.queue.poll(now) as? PollResult.Start ?: return true
        pass = maxOf(node.pass, pass)
        node.pass = pass + result.entry.payload.actual.total / node.capacityShare
        start(node, result.entry.payload)
        return true
    }

    private fun start(
        node: Node,
        call: Call,
    ) {
        call.team.waiting -= call.actual.total
        call.team.waits += now - call.at + PREFILL
        call.team.servedBySecond.merge(now.nanos / 1_000_000_000, call.actual.total, Long::plus)
        running += Completion(now + (call.actual.total / TOKENS_PER_SLOT).seconds, node, call)
    }

    private fun finish(done: Completion) {
        if (isFair) done.node.queue.settle(now, done.call.team.id, done.call.estimated, done.call.actual)
    }

    companion object {
        const val TOKENS_PER_SLOT = 100.0
        const val FIFO_LENGTH = 2000
        val PREFILL = 50.milliseconds
    }
}
