package oriolespindle.core.lease

import org.junit.jupiter.api.Test
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.id.InstanceId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against two instances that act under one lease and against a lease that no instance can acquire. */
class LeaseHolderTest {
    /** Settings with which the interval between renewals is shorter than the timeout of a write. */
    private val short =
        LeaseSettings(
            self = InstanceId("router"),
            duration = 3.seconds,
            renewInterval = 800.milliseconds,
            margin = 250.milliseconds,
            pollInterval = 500.milliseconds,
            maxOrderTime = 500.milliseconds,
            rankDelay = 100.milliseconds,
            pauseLimit = 1.seconds,
        )

    private fun held(
        seed: Long = 1,
        size: Int = 3,
    ) = LeaseFleet(seed, size).apply {
        time.run(30.seconds)
        expectThat(holders()).hasSize(1)
    }

    @Test
    fun `guards against two holders under pauses, outages, lost answers and clocks of different rates`() {
        var changes = 0
        repeat(200) { seed ->
            val random = Random(seed)
            val fleet = LeaseFleet(seed.toLong(), size = 3, drift = 0.03, ranked = false)
            fleet.answerLossRate = 0.2
            repeat(600) {
                when (random.nextInt(40)) {
                    0 -> fleet.nodes.random(random).run { pausedUntil = fleet.time.now + random.nextInt(1, 40).seconds }
                    1 -> fleet.isDown = !fleet.isDown
                    2 -> fleet.lease = null
                    3, 4 -> fleet.nodes.random(random).run { isCutOff = !isCutOff }
                }
                fleet.time.run(random.nextInt(50, 1_000).milliseconds)
                expectThat(fleet.holders().size).isLessThanOrEqualTo(1)
            }
            // Each new holder has a higher token than the one before; renewals keep the token.
            val fences =
                fleet.nodes.flatMap {
                    it.actions.filterIsInstance<LeaseAction.Held>().map { held ->
                        held.fence
                    }
                }
            changes += fences.distinct().size
        }
        println("lease, 200 seeds of 600 steps, 3 candidates: $changes changes of holder, never two holders")
        expectThat(changes).isGreaterThan(200)
    }

    @Test
    fun `guards against a holder that acts after a pause past its lease`() {
        val fleet = held()
        val paused = fleet.holders().single()
        paused.pausedUntil = fleet.time.now + 40.seconds
        fleet.time.run(39.seconds)

        val successor = fleet.holders().single { it !== paused }
        expectThat(paused.holder.mayAct(paused.clock(), 0.seconds)).isFalse()
        fleet.time.run(10.seconds)

        expectThat(fleet.holders()).containsExactly(successor)
        expectThat(paused.actions.last()).isEqualTo(LeaseAction.Lost(LeaseLoss.PAUSED))
        val fences = fleet.fences().distinct()
        expectThat(fences).isEqualTo(fences.sorted()).hasSize(2)
    }

    @Test
    fun `guards against using a lease after a pause that the clock does not show`() {
        val fleet = held()
        val node = fleet.holders().single()
        node.tell(LeaseEvent.Paused)
        expectThat(node.mayAct()).isFalse()

        fleet.time.run(1.seconds)

        expectThat(node.mayAct()).isTrue()
        expectThat(fleet.fences().distinct()).hasSize(1)
    }

    @Test
    fun `guards against a lease that is held twice or not at all when the answer to the write is lost`() {
        val fleet = LeaseFleet(seed = 4, size = 1)
        fleet.answerLossRate = 0.7
        fleet.time.run(120.seconds)
        fleet.answerLossRate = 0.0
        fleet.time.run(30.seconds)

        expectThat(fleet.holders()).hasSize(1)
    }

    @Test
    fun `guards against acting while the platform is down`() {
        val unreachable = LeaseFleet(seed = 5, size = 3)
        unreachable.isDown = true
        unreachable.time.run(120.seconds)
        expectThat(unreachable.nodes.flatMap { it.actions }).isEmpty()

        val fleet = held()
        val holder = fleet.holders().single()
        fleet.isDown = true
        fleet.time.run(20.seconds)
        expectThat(holder.mayAct()).isFalse()
        expectThat(holder.actions.last()).isEqualTo(LeaseAction.Lost(LeaseLoss.EXPIRED))
    }

    @Test
    fun `guards against a lease that stays unused after an outage although its holder is running`() {
        val fleet = held(size = 1)
        fleet.isDown = true
        fleet.time.run(20.seconds)
        fleet.isDown = false
        fleet.time.run(3.seconds)

        expectThat(fleet.holders()).hasSize(1)
        expectThat(fleet.fences().distinct()).isEqualTo(fleet.fences().distinct().sorted())
    }

    @Test
    fun `guards against a restarted holder that waits for its own lease to expire`() {
        val before = LeaseFleet(seed = 6, size = 1)
        before.time.run(30.seconds)
        expectThat(before.holders()).hasSize(1)
        val after = LeaseFleet(seed = 7, size = 1)
        after.lease = before.lease
        after.revision = before.revision
        after.time.run(3.seconds)

        expectThat(after.holders()).hasSize(1)
        expectThat(after.fences().single()).isGreaterThan(before.fences().last())
    }

    @Test
    fun `guards against mistaking a slow renewal write for a pause`() {
        val fleet = LeaseFleet(seed = 8, size = 1, settings = short)
        fleet.time.run(30.seconds)
        val holder = fleet.holders().single()
        fleet.isSilent = true
        fleet.time.run(20.seconds)

        expectThat(holder.actions.last()).isEqualTo(LeaseAction.Lost(LeaseLoss.EXPIRED))
    }

    @Test
    fun `guards against reads of the lease that grow with the fleet`() {
        val fleet = LeaseFleet(seed = 9, size = 40, ranked = false, settings = short)
        fleet.nodes.forEach { it.holder.candidateCount = 40 }
        fleet.time.run(20.seconds)
        fleet.reads = 0
        fleet.time.run(60.seconds)
        val holder = fleet.holders().single()
        holder.pausedUntil = fleet.time.now + 60.seconds
        val readsOfCalmFleet = fleet.reads
        fleet.time.run(8.seconds)

        // Each of the 39 other candidates reads once every 3.25 s; a single candidate reads twice a second.
        expectThat(readsOfCalmFleet).isLessThanOrEqualTo(39 * 19)
        expectThat(fleet.holders()).hasSize(1).and { get { single() }.isNotEqualTo(holder) }
    }

    @Test
    fun `guards against waiting for the lease to expire after a graceful shutdown`() {
        val fleet = held()
        val leaving = fleet.holders().single()
        leaving.tell(LeaseEvent.Release)
        fleet.time.run(6.seconds)

        expectThat(fleet.holders()).hasSize(1)
        expectThat(leaving.mayAct()).isFalse()
    }

    @Test
    fun `guards against a lease of another writer that is never taken over or at once because of its duration`() {
        for (durationMillis in listOf(3_600_000L, Long.MAX_VALUE / 1_000_000, Long.MAX_VALUE)) {
            val fleet = LeaseFleet(seed = 1, size = 3)
            val value = LeaseValue.encode(LeaseValue(InstanceId("other"), "other/1", durationMillis))
            fleet.lease = StoredObject(LeaseSettings(InstanceId("any")).key, Revision(7), value)
            fleet.time.run(10.seconds)
            expectThat(fleet.holders()).isEmpty()

            fleet.time.run(50.seconds)
            expectThat(fleet.holders()).describedAs("a duration of $durationMillis ms").hasSize(1)
        }
    }
}
