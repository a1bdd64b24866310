package oriolespindle.core.config

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.membership.MembershipEvent
import oriolespindle.core.membership.MembershipFleet
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates the caches of a fleet, which receive changes from watches and from each other, in virtual time. */
@OptIn(ExperimentalSerializationApi::class)
internal class ConfigurationFleet(
    size: Int,
    zones: Int,
    objects: Int,
    seed: Long,
) {
    class Instance(
        val node: MembershipFleet.Node,
        val sync: ConfigurationSync,
    ) {
        val cache: ObjectCache get() = sync.cache
        var watching = false
        var lists = 0
    }

    private val cbor = Cbor { useDefiniteLengthEncoding = true }
    private val kind = ObjectKind.CONTRACT
    private val random = SplittableRandom(seed)
    private val store = LinkedHashMap<ObjectKey, StoredObject>()
    private var revision = 0L
    val membership = MembershipFleet(seed, zones)
    val instances = LinkedHashMap<InstanceId, Instance>()

    /** Returns whether the instances of a zone cannot reach the platform. */
    var isZoneCutOff: (ZoneId) -> Boolean = { false }

    init {
        repeat(objects) { put("team-$it") }
        membership.onReport = { receiver, sender, report ->
            val event = SyncEvent.PeerReported(sender.record.id, report.revision, report.contentHash)
            instances[receiver.record.id]?.let { deliver(it, event) }
        }
        start(size)
        membership.list()
        membership.run(10.seconds)
    }

    fun start(count: Int): List<Instance> =
        membership.start(count).map { node ->
            val sync = ConfigurationSync(node.record.id, node.record.zone, setOf(kind), random = random.split())
            Instance(node, sync).also {
                instances[node.record.id] = it
                tickEverySecond(it)
            }
        }

    /** Writes an object about as large as a contract. */
    fun put(name: String): StoredObject {
        val value = """{"r":${++revision},"x":"${"x".repeat(900)}"}"""
        val item = StoredObject(ObjectKey(kind, name), Revision(revision), value)
        store[item.key] = item
        instances.values.filter { it.watching && reachable(it) }.forEach { watcher ->
            membership.at(membership.now + 5.milliseconds) { deliver(watcher, SyncEvent.WatchLine(item)) }
        }
        return item
    }

    fun count(role: WatchRole): Int = instances.values.count { it.sync.role == role }

    private fun reachable(instance: Instance) = !isZoneCutOff(instance.node.record.zone)

    /** Updates the members, delivers an idle line if [instance] watches, and ticks, once every second. */
    private fun tickEverySecond(instance: Instance) {
        membership.at(membership.now + 1.seconds) {
            if (instance.node.record.id !in instances) return@at
            deliver(instance, SyncEvent.Members(instance.node.machine.members(membership.now)))
            if (instance.watching && reachable(instance)) deliver(instance, SyncEvent.WatchIdle(Revision(revision)))
            deliver(instance, SyncEvent.Tick)
            tickEverySecond(instance)
        }
    }

    private fun deliver(
        instance: Instance,
        event: SyncEvent,
    ) {
        instance.sync.handle(membership.now, event).forEach { perform(instance, it) }
        val described = MembershipEvent.Configured(instance.cache.revision, instance.cache.contentHash)
        membership.tell(instance.node, described)
    }

    private fun perform(
        instance: Instance,
        action: SyncAction,
    ) {
        when (action) {
            is SyncAction.Changed -> {
                Unit
            }

            is SyncAction.CloseWatch -> {
                instance.watching = false
            }

            is SyncAction.OpenWatch -> {
                open(instance, action.from)
            }

            is SyncAction.Exchange -> {
                exchange(instance, action.action)
            }

            is SyncAction.List -> {
                instance.lists++
                val answer = SyncEvent.Listed(Revision(revision), store.values.toList())
                if (reachable(instance)) membership.at(membership.now + 5.milliseconds) { deliver(instance, answer) }
            }
        }
    }

    private fun open(
        instance: Instance,
        from: Revision,
    ) {
        instance.watching = reachable(instance)
        if (!instance.watching) return
        store.values.filter { it.version > from }.sortedBy { it.version }.forEach { item ->
            membership.at(membership.now + 5.milliseconds) { deliver(instance, SyncEvent.WatchLine(item)) }
        }
    }

    private fun exchange(
        from: Instance,
        action: ExchangeAction,
    ) {
        val settings = CacheExchangeSettings()
        when (action) {
            is ExchangeAction.Forward -> {
                from.node.machine
                    .targets(settings.ownZoneTargets, settings.otherZoneTargets)
                    .forEach { exchange(from, ExchangeAction.SendObjects(it.id, action.items)) }
            }

            is ExchangeAction.SendObjects -> {
                post(from, action.to, cbor.encodeToByteArray(action.items).size, SyncEvent.Objects(action.items))
            }

            is ExchangeAction.SendDigest -> {
                val event = SyncEvent.PeerDigest(from.node.record.id, action.digest)
                post(from, action.to, cbor.encodeToByteArray(action.digest).size, event)
            }
        }
    }

    private fun post(
        from: Instance,
        to: InstanceId,
        bytes: Int,
        event: SyncEvent,
    ) {
        val target = instances[to] ?: return
        membership.post(from.node, target.node.record, bytes) { deliver(target, event) }
    }
}
