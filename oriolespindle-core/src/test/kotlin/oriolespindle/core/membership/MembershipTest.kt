package oriolespindle.core.membership

import org.junit.jupiter.api.Test
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against wrong views of the fleet and against control traffic that grows with its size. */
class MembershipTest {
    private fun fleet(
        size: Int,
        seed: Long = 1,
        zones: Int = 3,
        loss: Double = 0.0,
    ) = MembershipFleet(seed, zones, loss).apply {
        start(size)
        list()
        run(10.seconds)
    }

    private fun MembershipFleet.changes(state: MemberState) =
        nodes.values.flatMap { node ->
            node.actions.filter { (_, action) -> action is MembershipAction.Changed && action.after.state == state }
        }

    @Test
    fun `live instances are not declared dead when messages are lost`() {
        (1L..5L).forEach { seed ->
            val fleet = fleet(size = 30, seed = seed, loss = 0.1)
            fleet.run(120.seconds)

            expectThat(fleet.changes(MemberState.SUSPECT).size).isGreaterThan(0)
            expectThat(fleet.changes(MemberState.DEAD).size).isEqualTo(0)
        }
    }

    @Test
    fun `every instance detects a failure, and only after the suspicion timeout`() {
        for (size in listOf(9, 330)) {
            val fleet = fleet(size)
            val failedNode = fleet.nodes.values.elementAt(4)
            val killedAt = fleet.now
            fleet.kill(failedNode)
            fleet.run(30.seconds)

            val deaths = fleet.changes(MemberState.DEAD).map { it.first - killedAt }
            println("membership, $size instances: one killed, seen as dead after ${deaths.min()} to ${deaths.max()}")
            expectThat(deaths.size).isEqualTo(size - 1)
            expectThat(deaths.min()).isGreaterThanOrEqualTo(MembershipSettings().suspicionTimeout)
        }
    }

    @Test
    fun `an instance detects its own pause and is seen as alive again`() {
        val fleet = fleet(size = 9)
        val pausedNode = fleet.nodes.values.first()
        pausedNode.frozenUntil = fleet.now + 20.seconds
        fleet.run(19.seconds)
        expectThat(fleet.changes(MemberState.DEAD).size).isEqualTo(8)

        fleet.run(15.seconds)

        expectThat(pausedNode.actions.map { it.second }).any { isA<MembershipAction.Paused>() }
        expectThat(fleet.view(pausedNode).values.toSet()).isEqualTo(setOf(MemberState.ALIVE))
        expectThat(fleet.allSeeAllAlive()).isTrue()
    }

    @Test
    fun `the sides of a healed partition find each other again`() {
        val fleet = fleet(size = 60, zones = 5)
        val isolatedZone = ZoneId("zone-2")
        fleet.connected = { a, b -> (a.zone == isolatedZone) == (b.zone == isolatedZone) }
        fleet.run(60.seconds)
        expectThat(fleet.changes(MemberState.DEAD).size).isEqualTo(2 * 12 * 48)

        fleet.connected = { _, _ -> true }
        val healed = fleet.now
        while (!fleet.allSeeAllAlive() && fleet.now - healed < 60.seconds) fleet.run(500.milliseconds)

        println("membership, 60 instances in 5 zones: views equal ${fleet.now - healed} after a 60 s partition healed")
        expectThat(fleet.allSeeAllAlive()).isTrue()
    }

    @Test
    fun `an older list or a late heartbeat does not bring a terminated instance back`() {
        val peer = MemberRecord(InstanceId("b"), ZoneId("z"), "10.0.0.2:1", incarnation = 7)
        val self = MemberRecord(InstanceId("a"), ZoneId("z"), "10.0.0.1:1")
        val machine = Membership(self, random = SplittableRandom(3))
        val now = Timestamp.ZERO
        val gone = peer.copy(state = MemberState.GONE)
        machine.handle(now, MembershipEvent.PlatformList(9, listOf(gone)))

        machine.handle(now, MembershipEvent.PlatformList(8, listOf(peer)))
        machine.handle(now, MembershipEvent.PingReceived(Gossip(peer, 1)))

        expectThat(machine.members(now).firstOrNull { it.id == peer.id }).isNull()
    }

    @Test
    fun `an instance learns that the platform has terminated it`() {
        val self = MemberRecord(InstanceId("a"), ZoneId("z"), "10.0.0.1:1")
        val machine = Membership(self, random = SplittableRandom(3))
        val entries = listOf(self.copy(state = MemberState.GONE))

        expectThat(machine.handle(Timestamp.ZERO, MembershipEvent.PlatformList(1, entries)))
            .any { isEqualTo(MembershipAction.DeclaredGone) }
    }

    @Test
    fun `control traffic stays below 4 KB per second at 330 instances`() {
        val rates = listOf(9, 30, 90, 330).map { size -> size to trafficOf(size) }
        rates.forEach { (size, rate) -> println("membership, $size instances: $rate") }

        val largest = rates.last().second
        expectThat(largest.maxBytes).isLessThanOrEqualTo(4_000.0)
        // The number of messages does not depend on the fleet size; 90 and 330 instances differ only in their rumors.
        expectThat(largest.events).isLessThanOrEqualTo(rates[2].second.events * 1.1)
    }

    private data class Traffic(
        val sentBytes: Double,
        val receivedBytes: Double,
        val maxBytes: Double,
        val events: Double,
        val cpuMicros: Double,
    ) {
        override fun toString(): String =
            "%.0f B/s sent and %.0f B/s received each, at most %.0f B/s in all, %.1f events/s, %.0f us/s CPU"
                .format(sentBytes, receivedBytes, maxBytes, events, cpuMicros)
    }

    /** Replaces one instance every 30 s, ten times the rate of the target. */
    private fun trafficOf(size: Int): Traffic {
        val fleet = fleet(size, zones = if (size > 90) 5 else 3)
        val measured = 120.seconds
        val nodes = fleet.nodes.values.toList()
        val before = nodes.associateWith { Triple(it.sentBytes, it.receivedBytes, it.events) }
        val started = System.nanoTime()
        repeat(4) {
            fleet.kill(fleet.nodes.values.last())
            fleet.start(1)
            fleet.run(10.seconds)
            fleet.list()
            fleet.run(20.seconds)
        }
        val cpu = System.nanoTime() - started
        val stable = nodes.filter { fleet.nodes[it.record.id] === it }
        val sent = stable.map { (it.sentBytes - before.getValue(it).first) / measured.seconds() }
        val received = stable.map { (it.receivedBytes - before.getValue(it).second) / measured.seconds() }
        val events = stable.map { (it.events - before.getValue(it).third) / measured.seconds() }
        return Traffic(
            sentBytes = sent.average(),
            receivedBytes = received.average(),
            maxBytes = sent.indices.maxOf { sent[it] + received[it] },
            events = events.average(),
            cpuMicros = cpu / 1e3 / size / measured.seconds(),
        )
    }

    private fun Duration.seconds(): Double = inWholeMilliseconds / 1e3
}
