package oriolespindle.core.config

import org.junit.jupiter.api.Test
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.membership.Member
import oriolespindle.core.membership.MemberRecord
import oriolespindle.core.membership.MembershipEvent
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against accepted changes that reach some instance late or never, and against excess calls to the platform. */
class ConfigurationSpreadTest {
    private data class PropagationTime(
        val inForce: Duration,
        val confirmed: Duration,
    )

    private fun measurePropagation(fleet: ConfigurationFleet): PropagationTime {
        val membership = fleet.membership
        val started = membership.now
        val item = fleet.put("team-3")

        fun held(instance: ConfigurationFleet.Instance) = instance.cache.get(item.key)?.version == item.version
        while (!fleet.instances.values.all(::held) &&
            membership.now - started < 60.seconds
        ) {
            membership.run(10.milliseconds)
        }
        val inForce = membership.now - started

        fun confirmed(instance: ConfigurationFleet.Instance) = instance.cache.revision >= item.version
        while (!fleet.instances.values.all(::confirmed) &&
            membership.now - started < 60.seconds
        ) {
            membership.run(10.milliseconds)
        }
        return PropagationTime(inForce, membership.now - started)
    }

    private fun maxPropagationTime(
        fleet: ConfigurationFleet,
        changes: Int,
    ): PropagationTime {
        val propagationTimes =
            List(changes) {
                fleet.membership.run(14.seconds)
                measurePropagation(fleet)
            }
        return PropagationTime(propagationTimes.maxOf { it.inForce }, propagationTimes.maxOf { it.confirmed })
    }

    @Test
    fun `guards against a zone that stays outdated after it can reach its peers again but not the platform`() {
        for ((size, zones, limit) in listOf(Triple(9, 3, 2.seconds), Triple(330, 5, 19.seconds))) {
            val fleet = ConfigurationFleet(size, zones, objects = 50, seed = 21)
            val zone = ZoneId("zone-1")
            fleet.isZoneCutOff = { it == zone }
            fleet.membership.connected = { a, b -> (a.zone == zone) == (b.zone == zone) }
            fleet.membership.run(5.seconds)
            val item = fleet.put("team-3")
            fleet.membership.run(60.seconds)
            val lagging = fleet.instances.values.filter { it.cache.get(item.key)?.version != item.version }
            expectThat(lagging.all { it.node.record.zone == zone }).isEqualTo(true)
            fleet.membership.connected = { _, _ -> true }
            val healed = fleet.membership.now
            while (lagging.any { it.cache.get(item.key) != item } && fleet.membership.now - healed < 60.seconds) {
                fleet.membership.run(10.milliseconds)
            }
            val delay = fleet.membership.now - healed

            println("configuration, $size instances: ${lagging.size} behind after a partition have it after $delay")
            expectThat(delay).isLessThanOrEqualTo(limit)
        }
    }

    @Test
    fun `guards against a change that is in force later than 2 s today and 19 s at 330 instances`() {
        for ((size, zones, limit) in listOf(Triple(9, 3, 2.seconds), Triple(330, 5, 19.seconds))) {
            val fleet = ConfigurationFleet(size, zones, objects = 50, seed = 11)
            val whole = maxPropagationTime(fleet, changes = 5)
            val cutZone = ZoneId("zone-1")
            fleet.isZoneCutOff = { it == cutZone }
            val partitioned = maxPropagationTime(fleet, changes = 5)
            println(
                "configuration, $size instances: in force everywhere after ${whole.inForce}, confirmed after " +
                    "${whole.confirmed}; with one zone cut from the platform " +
                    "${partitioned.inForce} and ${partitioned.confirmed}",
            )

            expectThat(whole.inForce).isLessThanOrEqualTo(limit)
            expectThat(partitioned.inForce).isLessThanOrEqualTo(limit)
        }
    }

    @Test
    fun `guards against control traffic above 4 KB per second at the target rate of changes`() {
        val fleet = ConfigurationFleet(330, zones = 5, objects = 50, seed = 12)
        fleet.membership.run(20.seconds)
        val nodes =
            fleet.membership.nodes.values
                .toList()
        val before = nodes.sumOf { it.sentBytes + it.receivedBytes }
        val started = fleet.membership.now
        repeat(10) { measurePropagation(fleet).also { fleet.membership.run(14.seconds) } }

        val seconds = (fleet.membership.now - started).inWholeMilliseconds / 1e3
        val rate = (nodes.sumOf { it.sentBytes + it.receivedBytes } - before) / seconds / nodes.size
        println("configuration and membership, 330 instances, 6,100 changes of 1 KB a day: %.0f B/s each".format(rate))
        expectThat(rate).isLessThanOrEqualTo(4_000.0)
    }

    @Test
    fun `guards against an instance that starts during an outage without configuration`() {
        val fleet = ConfigurationFleet(9, zones = 3, objects = 300, seed = 13)
        fleet.membership.run(10.seconds)
        fleet.isZoneCutOff = { true }
        val started = fleet.start(1).single()
        // The platform cannot list the instances either, so the instance starts from the one peer in its settings.
        fleet.membership.tell(
            started.node,
            MembershipEvent.Contact(
                fleet.instances.values
                    .first()
                    .node.record,
            ),
        )
        val complete = fleet.membership.now

        fun missing() = started.cache.live(ObjectKind.CONTRACT).size < 300
        while (missing() && fleet.membership.now - complete < 60.seconds) fleet.membership.run(10.milliseconds)

        println(
            "configuration, start during an outage: 300 objects from peers after ${fleet.membership.now - complete}",
        )
        expectThat(started.cache.contentHash).isEqualTo(
            fleet.instances.values
                .first()
                .cache.contentHash,
        )
    }

    @Test
    fun `guards against calls to the platform that grow with the fleet`() {
        for ((size, zones, counted) in listOf(Triple(9, 3, 1.hours), Triple(330, 5, 60.seconds))) {
            val fleet = ConfigurationFleet(size, zones, objects = 1, seed = 14)
            val watching = fleet.count(WatchRole.WATCH)
            val listening = fleet.count(WatchRole.LISTEN)
            val before = fleet.instances.values.sumOf { it.lists }
            fleet.membership.run(counted)
            val lists = (fleet.instances.values.sumOf { it.lists } - before) * (1.hours / counted)
            println("platform calls, $size instances: $watching waiting watches, %.0f lists/h".format(lists))

            expectThat(watching).isEqualTo(zones * WatcherSelectionSettings().watchersPerZone)
            expectThat(listening).isEqualTo(size - watching)
        }
    }

    @Test
    fun `guards against moving more than one watch when a watching instance fails`() {
        val fleet = ConfigurationFleet(30, zones = 3, objects = 1, seed = 15)
        val watcher = fleet.instances.values.first { it.sync.role == WatchRole.WATCH }

        fun watchers() = fleet.instances.filterValues { it.sync.role == WatchRole.WATCH }.keys
        val before = watchers()

        fleet.membership.kill(watcher.node)
        fleet.instances.remove(watcher.node.record.id)
        fleet.membership.run(30.seconds)

        expectThat(watchers().size).isEqualTo(6)
        expectThat((before - watchers()).toList()).isEqualTo(listOf(watcher.node.record.id))
    }

    @Test
    fun `guards against a watch from a revision that the platform no longer has and against lists without a delay`() {
        val kinds = setOf(ObjectKind.CONTRACT)
        val sync = ConfigurationSync(InstanceId("a"), ZoneId("z"), kinds, random = SplittableRandom(1))
        val start = Timestamp.ZERO
        val member = Member(MemberRecord(InstanceId("a"), ZoneId("z"), "10.0.0.1:1"), start)
        val list = SyncAction.List(kinds)

        expectThat(sync.handle(start, SyncEvent.Members(listOf(member)))).isEqualTo(listOf(list))
        expectThat(sync.handle(start + 1.seconds, SyncEvent.Tick)).isEqualTo(emptyList())
        expectThat(sync.handle(start + 2.seconds, SyncEvent.Tick)).isEqualTo(listOf(list))
        expectThat(sync.handle(start + 3.seconds, SyncEvent.Listed(Revision(7), emptyList())))
            .isEqualTo(listOf(SyncAction.OpenWatch(kinds, Revision(7))))
        expectThat(sync.handle(start + 4.seconds, SyncEvent.WatchEnded(relistRequired = true))).isEqualTo(listOf(list))
    }
}
