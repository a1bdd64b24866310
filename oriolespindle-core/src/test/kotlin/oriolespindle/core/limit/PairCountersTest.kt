package oriolespindle.core.limit

import org.junit.jupiter.api.Test
import oriolespindle.core.id.InstanceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.SplittableRandom

/**
 * Compares [PairCounters] with simpler transfer protocols over a network that loses, duplicates and delays messages.
 */
class PairCountersTest {
    /** A transfer protocol; a message is an effect at its receiver that may run any number of times, at any time. */
    private interface Transfer {
        fun move(
            from: Int,
            to: Int,
            units: Int,
            send: (() -> Unit) -> Unit,
        )

        fun holding(node: Int): Long
    }

    private class Cumulative : Transfer {
        private val ids = List(NODES) { InstanceId("i$it") }
        private val pairs = List(NODES) { PairCounters() }

        override fun move(
            from: Int,
            to: Int,
            units: Int,
            send: (() -> Unit) -> Unit,
        ) {
            pairs[from].give(ids[to], units)
            val count = pairs[from].given(ids[to])
            send { pairs[to].receive(ids[from], count) }
        }

        override fun holding(node: Int): Long = TOTAL / NODES + pairs[node].balance
    }

    /** A message carries the units of one transfer instead of the running total. */
    private class Incremental : Transfer {
        private val units = LongArray(NODES) { TOTAL / NODES }

        override fun move(
            from: Int,
            to: Int,
            units: Int,
            send: (() -> Unit) -> Unit,
        ) {
            this.units[from] -= units.toLong()
            send { this.units[to] += units.toLong() }
        }

        override fun holding(node: Int): Long = units[node]
    }

    /** The receiver raises its holding before the giver has lowered its own. */
    private class ReceiverFirst : Transfer {
        private val units = LongArray(NODES) { TOTAL / NODES }

        override fun move(
            from: Int,
            to: Int,
            units: Int,
            send: (() -> Unit) -> Unit,
        ) {
            this.units[to] += units.toLong()
            send { this.units[from] -= units.toLong() }
        }

        override fun holding(node: Int): Long = units[node]
    }

    /** Returns the largest sum of holdings in a run with [seed]. */
    private fun largestSum(
        transfer: Transfer,
        seed: Long,
    ): Long {
        val random = SplittableRandom(seed)
        val inFlight = mutableListOf<() -> Unit>()
        var largest = 0L
        repeat(2_000) {
            val from = random.nextInt(NODES)
            val to = (from + 1 + random.nextInt(NODES - 1)) % NODES
            val units = (transfer.holding(from) / 4).toInt()
            if (units > 0) transfer.move(from, to, units) { if (random.nextInt(5) > 0) inFlight += it }
            if (inFlight.isNotEmpty()) {
                val message = inFlight[random.nextInt(inFlight.size)]
                message()
                if (random.nextInt(5) > 0) inFlight -= message
            }
            largest = maxOf(largest, (0 until NODES).sumOf { maxOf(0, transfer.holding(it)) })
        }
        return largest
    }

    @Test
    fun `the sum of holdings never exceeds the total - guards against duplicated, lost and reordered transfers`() {
        val seeds = 1L..200L
        val cumulative = seeds.maxOf { largestSum(Cumulative(), it) }
        val incremental = seeds.count { largestSum(Incremental(), it) > TOTAL }
        val receiverFirst = seeds.count { largestSum(ReceiverFirst(), it) > TOTAL }
        println("limit: cumulative counters: largest sum $cumulative of $TOTAL in 200 seeds")
        println(
            "limit: above the total: incremental in $incremental, receiver first in $receiverFirst of 200 seeds",
        )

        expectThat(cumulative).isLessThanOrEqualTo(TOTAL)
        expectThat(incremental).isGreaterThan(100)
        expectThat(receiverFirst).isGreaterThan(100)
    }

    @Test
    fun `units passed around in a circle settle to the lost amount - guards against large amounts at one survivor`() {
        val (a, b, x) = List(3) { InstanceId("i$it") }
        val atA = PairCounters()
        val atB = PairCounters()
        repeat(100) {
            atA.give(x, 1000)
            atB.receive(x, 1000L * (it + 1))
            atB.give(a, 1000)
            atA.receive(b, 1000L * (it + 1))
        }
        atA.settle(x)
        atB.settle(x)

        expectThat(atA.removedNet).isGreaterThan(0)
        expectThat(atA.removedNet + atB.removedNet).isEqualTo(0)
        expectThat(atA.balance).isEqualTo(0)
        expectThat(atB.balance).isEqualTo(0)
    }

    private companion object {
        const val NODES = 5
        const val TOTAL = 1_000_000L
    }
}
