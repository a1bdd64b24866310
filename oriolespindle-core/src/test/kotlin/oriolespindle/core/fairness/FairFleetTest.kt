package oriolespindle.core.fairness

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.SplittableRandom
import kotlin.math.abs
import kotlin.time.Duration.Companion.seconds

class FairFleetTest {
    private val seconds = 12

    // The smallest share is 140 requests/s, so that one request more or less at each instance stays below 5%.
    private val slots = 800
    private val warmUp = 4

    private fun uneven(random: SplittableRandom): List<Double> = List(9) { random.nextDouble().let { it * it } + 0.01 }

    /**
     * Ten teams of different weights; three demand ten times their share and the others 90%, 110% or 200% of theirs.
     */
    private fun tenTeams(seed: Long): List<SimulatedTeam> {
        val random = SplittableRandom(seed)
        val weights = List(10) { if (it % 2 == 0) 1.0 else 2.0 }
        val capacity = slots * FairFleet.TOKENS_PER_SLOT
        return weights.mapIndexed { i, weight ->
            val factor = if (i < 3) 10.0 else listOf(0.9, 1.1, 2.0)[i % 3]
            val demand = capacity * weight / weights.sum() * factor
            SimulatedTeam("t$i", weight, demand, 10 + 5 * (i % 3), uneven(random), 1 + i % 4)
        }
    }

    private fun worstDeviation(
        teams: List<SimulatedTeam>,
        capacity: Double,
    ): Double {
        val weights = teams.associate { it.id to it.weight }
        return (warmUp until seconds).maxOf { second ->
            val demands = teams.associate { it.id to it.demandBySecond.getValue(second.toLong()).toDouble() }
            val shares = MaxMin.divide(capacity, demands, weights)
            teams.maxOf { abs(it.served(second, second + 1) / shares.getValue(it.id) - 1) }
        }
    }

    @Test
    fun `every team is near its max-min share over 1 s - guards against a large team that displaces others`() {
        for (seed in 11L..20L) {
            val fair = tenTeams(seed)
            val fleet = FairFleet(seed, fair, slots = slots)
            fleet.run(seconds.seconds)
            val fifo = tenTeams(seed)
            FairFleet(seed, fifo, slots = slots, isFair = false).run(seconds.seconds)

            val deviation = worstDeviation(fair, fleet.capacity)
            val fifoDeviation = worstDeviation(fifo, fleet.capacity)
            val used = fair.sumOf { it.served(warmUp, seconds) } / (fleet.capacity * (seconds - warmUp))
            println(
                "fairness: seed $seed worst deviation from the max-min share over 1 s %.1f%% (FIFO %.1f%%), used %.1f%%"
                    .format(deviation * 100, fifoDeviation * 100, used * 100),
            )
            expectThat(deviation).describedAs("seed $seed").isLessThanOrEqualTo(0.05)
            expectThat(fifoDeviation).isGreaterThan(0.05)
            expectThat(used).isGreaterThanOrEqualTo(0.99)
        }
    }

    @Test
    fun `a small team's first token takes at most twice as long as alone - guards against queueing behind others`() {
        fun small() = SimulatedTeam("small", 1.0, 200.0, 20, uneven(SplittableRandom(9)))
        val alone = small()
        FairFleet(1, listOf(alone), slots = slots).run(seconds.seconds)
        val among = small()
        FairFleet(1, tenTeams(1) + among, slots = slots).run(seconds.seconds)
        val fifo = small()
        FairFleet(1, tenTeams(1) + fifo, slots = slots, isFair = false).run(seconds.seconds)

        fun p95(team: SimulatedTeam) = team.waits.sorted()[team.waits.size * 95 / 100]
        println(
            "fairness: small team's first token, 95%: alone ${p95(alone)}, fair ${p95(among)}, FIFO ${p95(fifo)}",
        )
        expectThat(p95(among)).isLessThanOrEqualTo(p95(alone) * 2)
        expectThat(p95(fifo)).isGreaterThan(p95(alone) * 2)
    }

    @Test
    fun `splitting load gains nothing - guards against small requests, many connections and many instances`() {
        val even = List(9) { 1.0 }
        val one = List(9) { if (it == 0) 1.0 else 0.0 }
        val plain = SimulatedTeam("plain", 1.0, 20_000.0, 40, one)
        val splitTeams =
            listOf(
                SimulatedTeam("small requests", 1.0, 20_000.0, 10, one),
                SimulatedTeam("many connections", 1.0, 200_000.0, 40, one),
                SimulatedTeam("many instances", 1.0, 20_000.0, 40, even),
            )
        FairFleet(5, listOf(plain) + splitTeams).run(seconds.seconds)

        for (team in splitTeams) {
            val gain = team.served(warmUp, seconds).toDouble() / plain.served(warmUp, seconds)
            println("fairness: ${team.name} gets %.3f of the plain team".format(gain))
            expectThat(gain).describedAs(team.name).isLessThanOrEqualTo(1.05)
        }
    }
}
