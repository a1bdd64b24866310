package oriolespindle.core.limit

import org.junit.jupiter.api.Test
import oriolespindle.core.contract.sampleContract
import oriolespindle.core.id.ZoneId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ShareLedgerTest {
    private val contract = sampleContract("a").copy(requestsPerSecond = 200.0, concurrency = 1000)
    private val total = LimitKey.TOTAL_UNITS.toLong()

    @Test
    fun `load at one of 9 idle instances is served within 2 s - guards against capacity stuck in a fixed split`() {
        val fleet = ShareFleet(seed = 1, size = 9, contract)
        fleet.run(2.seconds)
        val start = fleet.now
        fleet.nodes[4].rate = 400.0
        fleet.run(12.seconds)

        // Without messages each instance keeps its equal share, which is a fixed split.
        val split = ShareFleet(seed = 1, size = 9, contract)
        split.run(2.seconds)
        split.faults = LinkFaults(loss = 1.0)
        split.nodes[4].rate = 400.0
        split.run(12.seconds)

        val rate = fleet.admittedIn(start + 2.seconds, start + 12.seconds) / 10.0
        val splitRate = split.admittedIn(start + 2.seconds, start + 12.seconds) / 10.0
        println("limit: skew from idle: ${rate / 2}% of the contract usable from 2 s on, fixed split ${splitRate / 2}%")
        // Guards against an instance that exhausts its share at once and then admits nothing for seconds.
        expectThat(splitRate / (200 / 9.0)).isIn(0.95..1.02)
        expectThat(rate).isGreaterThanOrEqualTo(0.95 * 200)
        expectThat(fleet.maxUsableSum).isLessThanOrEqualTo(total)
    }

    @Test
    fun `load that moves to one of 9 instances is served in 2 s - guards against units that stay where load was`() {
        val fleet = ShareFleet(seed = 2, size = 9, contract)
        fleet.nodes.forEach { it.rate = 40.0 }
        fleet.run(20.seconds)
        val start = fleet.now
        fleet.nodes.forEach { it.rate = 0.0 }
        fleet.nodes[4].rate = 400.0
        fleet.run(12.seconds)

        val rate = fleet.admittedIn(start + 2.seconds, start + 12.seconds) / 10.0
        val most = fleet.mostAdmitted(10.seconds)
        println("limit: skew from full load: ${rate / 2}% of the contract from 2 s on, most in 10 s ${most / 20.0}%")
        expectThat(rate).isGreaterThanOrEqualTo(0.95 * 200)
        expectThat(most).isLessThanOrEqualTo(2040)
    }

    @Test
    fun `a dead instance's units are taken over exactly once - guards against lost and doubled capacity`() {
        for (seed in 1L..20L) {
            val fleet = ShareFleet(seed, size = 5, contract, LinkFaults(0.2, 0.2, 300.milliseconds))
            fleet.nodes.forEach { it.rate = fleet.random.nextDouble() * 150 }
            fleet.run(8.seconds)
            fleet.kill(fleet.nodes[fleet.random.nextInt(5)])
            fleet.run(3.seconds)
            // The second instance dies while the units of the first are being settled; it may be the successor.
            fleet.kill(fleet.nodes.filterNot { it.isDead }.let { it[fleet.random.nextInt(it.size)] })
            fleet.run(30.seconds)
            fleet.nodes.forEach { it.rate = 0.0 }
            fleet.run(15.seconds)

            expectThat(fleet.heldUnits()).describedAs("units at seed $seed").isEqualTo(total)
            expectThat(fleet.maxUsableSum).describedAs("largest sum at seed $seed").isLessThanOrEqualTo(total)
        }
    }

    @Test
    fun `a new instance obtains units while the platform is down - guards against a replacement that cannot serve`() {
        val fleet = ShareFleet(seed = 3, size = 9, contract)
        fleet.run(2.seconds)
        fleet.platformUp = false
        val added = fleet.add()
        added.rate = 400.0
        fleet.run(2.seconds)
        val start = fleet.now
        fleet.run(8.seconds)

        val rate = fleet.admittedIn(start, fleet.now) / 8.0
        println("limit: new instance without platform: ${rate / 2}% of the contract usable from 2 s on")
        expectThat(rate).isGreaterThanOrEqualTo(0.95 * 200)
        expectThat(fleet.maxUsableSum).isLessThanOrEqualTo(total)
    }

    @Test
    fun `a new instance without peers is not supplied - guards against a ready instance that refuses every call`() {
        val fleet = ShareFleet(seed = 5, size = 2, contract)
        fleet.run(2.seconds)
        fleet.nodes.forEach { fleet.pause(it) }
        val added = List(2) { fleet.add() }
        fleet.run(10.seconds)
        val alone = added.map { it.ledger.isSupplied }
        fleet.nodes.filterNot { it in added }.forEach { fleet.resume(it) }
        fleet.run(3.seconds)
        val together = added.map { it.ledger.isSupplied }
        added[0].rate = 100.0
        fleet.run(2.seconds)

        // Two instances that joined without units must not confirm each other either.
        expectThat(alone).isEqualTo(listOf(false, false))
        expectThat(together).isEqualTo(listOf(true, true))
        expectThat(fleet.admittedBy[added[0].id] ?: 0).isGreaterThan(0)
    }

    @Test
    fun `instances of an initial allotment are supplied without peers - guards against a fleet that never starts`() {
        val fleet = ShareFleet(seed = 6, size = 2, contract, LinkFaults(loss = 0.0))
        fleet.pause(fleet.nodes[1])
        fleet.run(2.seconds)

        expectThat(fleet.nodes[0].ledger.isSupplied).isTrue()
    }

    @Test
    fun `a partitioned zone uses the units it holds - guards against a zone that stops or exceeds its share`() {
        val fleet = ShareFleet(seed = 4, size = 9, contract)
        fleet.run(2.seconds)
        fleet.partitionedZones = setOf(ZoneId("z0"))
        fleet.zonesWithoutPlatform = setOf(ZoneId("z0"))
        fleet.nodes.forEach { it.rate = 0.0 }
        fleet.nodes
            .filter { it.zone == ZoneId("z0") }
            .first()
            .rate = 400.0
        fleet.nodes
            .filter { it.zone != ZoneId("z0") }
            .first()
            .rate = 400.0
        fleet.run(20.seconds)

        val inPartition = fleet.admittedBy[fleet.nodes[0].id] ?: 0
        val most = fleet.mostAdmitted(10.seconds)
        println("limit: isolated zone ${inPartition / 20.0} of 66.7/s, most in any 10 s in both parts ${most / 20.0}%")
        expectThat(inPartition / 20.0).isGreaterThan(0.9 * 200 / 3)
        expectThat(most).isLessThanOrEqualTo(2040)
    }

    @Test
    fun `a paused instance that was removed uses no units - guards against units that two instances use`() {
        val fleet = ShareFleet(seed = 6, size = 9, contract)
        fleet.run(2.seconds)
        val paused = fleet.nodes[4]
        fleet.pause(paused)
        fleet.reportGone(paused)
        fleet.run(30.seconds)
        expectThat(fleet.nodes.filter { it !== paused }.sumOf { it.ledger.holding(fleet.key) }).isEqualTo(total)

        fleet.resume(paused)
        expectThat(paused.ledger.usable(fleet.key)).isEqualTo(0)
        fleet.platformUp = false
        fleet.run(2.seconds)
        expectThat(paused.isRestarting).isTrue()
        expectThat(fleet.maxUsableSum).isLessThanOrEqualTo(total)
    }

    @Test
    fun `a paused instance is confirmed by a peer - guards against capacity lost while the platform is down`() {
        val fleet = ShareFleet(seed = 7, size = 9, contract)
        fleet.run(2.seconds)
        fleet.platformUp = false
        val paused = fleet.nodes[4]
        fleet.pause(paused)
        fleet.run(5.seconds)
        fleet.resume(paused)
        expectThat(paused.ledger.usable(fleet.key)).isEqualTo(0)

        fleet.run(1.seconds)
        expectThat(paused.ledger.usable(fleet.key)).isGreaterThan(100_000)
        fleet.partitionedZones = fleet.nodes.mapTo(mutableSetOf()) { it.zone }
        fleet.nodes.filter { it !== paused }.forEach(fleet::pause)
        fleet.run(3.seconds)
        expectThat(paused.ledger.usable(fleet.key)).describedAs("without a peer").isEqualTo(0)
    }
}
