package oriolespindle.core.limit

import org.junit.jupiter.api.Test
import oriolespindle.core.contract.sampleContract
import oriolespindle.core.id.ZoneId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs fleets with random faults in virtual time. */
class ShareScheduleTest {
    private val contract = sampleContract("a").copy(requestsPerSecond = 200.0, concurrency = 100)
    private val total = LimitKey.TOTAL_UNITS.toLong()
    private var deaths = 0
    private var removals = 0
    private var pauses = 0
    private var partitions = 0

    /** Injects one random fault or heals existing ones; faults may overlap. */
    private fun injectFault(fleet: ShareFleet) {
        val random = fleet.random
        val zone = ZoneId("z${random.nextInt(3)}")
        when (random.nextInt(8)) {
            0, 1 -> {
                killOrPauseInstance(fleet)
            }

            2 -> {
                resumeAll(fleet)
            }

            3 -> {
                removePaused(fleet)
            }

            4 -> {
                partitions++
                fleet.partitionedZones = setOf(zone)
            }

            5 -> {
                fleet.zonesWithoutPlatform = setOf(zone)
            }

            6 -> {
                fleet.platformUp = !fleet.platformUp
            }

            else -> {
                heal(fleet)
            }
        }
        if (fleet.nodes.count { it.isRunning } < 9 && random.nextInt(6) == 0) fleet.add()
        fleet.nodes.forEach { it.rate = if (random.nextInt(3) == 0) random.nextDouble() * 300 else 0.0 }
    }

    private fun killOrPauseInstance(fleet: ShareFleet) {
        val running = fleet.nodes.filter { it.isRunning }
        if (running.size <= 4) return
        val victim = running[fleet.random.nextInt(running.size)]
        if (fleet.random.nextBoolean()) {
            deaths++
            fleet.kill(victim)
        } else {
            pauses++
            fleet.pause(victim)
        }
    }

    private fun removePaused(fleet: ShareFleet) {
        val paused = paused(fleet).firstOrNull() ?: return
        removals++
        fleet.reportGone(paused)
    }

    private fun resumeAll(fleet: ShareFleet) = paused(fleet).forEach(fleet::resume)

    private fun paused(fleet: ShareFleet) = fleet.nodes.filter { !it.isDead && it.pausedAt != null }

    private fun heal(fleet: ShareFleet) {
        fleet.partitionedZones = emptySet()
        fleet.zonesWithoutPlatform = emptySet()
        fleet.platformUp = true
    }

    @Test
    fun `usable units never exceed the total under any faults - guards against admitting twice the contract`() {
        var most = 0
        var maxSlotsInUse = 0
        var admitted = 0
        for (seed in 1L..SCHEDULES) {
            val fleet = ShareFleet(seed, size = 6, contract, LinkFaults(0.2, 0.2, 800.milliseconds))
            // Long calls exhaust the concurrency limit, short ones the request rate.
            fleet.holdTime = if (seed % 2 == 0L) 400.milliseconds else 50.milliseconds
            repeat(40) {
                fleet.run((200 + fleet.random.nextInt(3000)).milliseconds)
                injectFault(fleet)
            }
            expectThat(fleet.maxUsableSum).describedAs("largest sum at seed $seed").isLessThanOrEqualTo(total)
            expectThat(fleet.mostAdmitted(10.seconds)).describedAs("in 10 s at seed $seed").isLessThanOrEqualTo(2040)

            heal(fleet)
            resumeAll(fleet)
            fleet.nodes.forEach { it.rate = 0.0 }
            fleet.run(60.seconds)
            expectThat(fleet.heldUnits()).describedAs("units after healing at seed $seed").isEqualTo(total)
            expectThat(fleet.maxUsableSum).describedAs("sum while healing at seed $seed").isLessThanOrEqualTo(total)
            expectThat(fleet.maxSlotsInUse).describedAs("slots at seed $seed").isLessThanOrEqualTo(100)
            most = maxOf(most, fleet.mostAdmitted(10.seconds))
            maxSlotsInUse = maxOf(maxSlotsInUse, fleet.maxSlotsInUse)
            admitted += fleet.admitted.size
        }
        println(
            "limit: $SCHEDULES schedules with $deaths deaths, $removals removals of paused instances, $pauses pauses,",
        )
        println("limit: $partitions partitions: sum at most $total, after healing $total; most admitted in any 10 s")
        println("limit: ${most / 20.0}% of the contract, most slots $maxSlotsInUse of 100, $admitted admitted")
        expectThat(admitted).isGreaterThan(100_000)
    }

    private companion object {
        const val SCHEDULES = 100
    }
}
