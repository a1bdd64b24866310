package oriolespindle.core.config

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.membership.Member
import oriolespindle.core.membership.MemberState
import oriolespindle.core.membership.MembershipEvent
import oriolespindle.core.membership.MembershipFleet
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Caches of a whole fleet that take changes from watches and from each other, in virtual time. */
@OptIn(ExperimentalSerializationApi::class)
internal class ConfigurationFleet(
    size: Int,
    zones: Int,
    objects: Int,
    seed: Long,
) {
    class Instance(
        val node: MembershipFleet.Node,
        val cache: ObjectCache,
        val duty: WatchDuty,
    ) {
        val exchange = CacheExchange(cache)
        var span: WatchSpan? = null
    }

    private val cbor = Cbor { useDefiniteLengthEncoding = true }
    private val kind = ObjectKind.CONTRACT
    private val random = SplittableRandom(seed)
    private val store = LinkedHashMap<ObjectKey, StoredObject>()
    private var revision = 0L
    val membership = MembershipFleet(seed, zones)
    val instances = LinkedHashMap<InstanceId, Instance>()

    /** Zones that cannot reach the platform. */
    var cut: (ZoneId) -> Boolean = { false }

    init {
        repeat(objects) { put("team-$it") }
        membership.onReport = { receiver, sender, report ->
            instances[receiver.record.id]?.let {
                perform(it, it.exchange.heard(membership.now, sender.record.id, report.revision, report.contentHash))
                describe(it)
            }
        }
        start(size)
        membership.list()
        membership.run(10.seconds)
    }

    fun start(count: Int): List<Instance> =
        membership.start(count).map { node ->
            val duty = WatchDuty(node.record.id, node.record.zone, random = random.split())
            Instance(node, ObjectCache(setOf(kind)), duty).also {
                instances[node.record.id] = it
                second(it)
            }
        }

    /** Writes an object of about the size of a contract. */
    fun put(name: String): StoredObject {
        val item =
            StoredObject(ObjectKey(kind, name), Revision(++revision), """{"r":$revision,"x":"${"x".repeat(900)}"}""")
        store[item.key] = item
        instances.values.filter { it.span != null && !cut(it.node.record.zone) }.forEach { watcher ->
            membership.at(membership.now + 5.milliseconds) {
                watcher.span?.let { apply(watcher, ObjectEvent.Watched(it, item)) }
            }
        }
        return item
    }

    fun members(instance: Instance): List<Member> = instance.node.machine.members(membership.now)

    fun count(role: WatchRole): Int = instances.values.count { it.duty.role(members(it)) == role }

    /** Once each second an instance that watches has an idle line, and its role is checked. */
    private fun second(instance: Instance) {
        membership.at(membership.now + 1.seconds) {
            val watches = instance.duty.role(members(instance)) == WatchRole.WATCH
            val reachable = !cut(instance.node.record.zone)
            val span = instance.span
            when {
                !watches || !reachable -> instance.span = null
                span == null -> list(instance)
                else -> apply(instance, ObjectEvent.WatchIdle(span, Revision(revision)))
            }
            if (!watches && reachable && instance.duty.nextCheck(membership.now) <= membership.now) {
                instance.duty.checked(membership.now)
                apply(instance, listed())
            }
            second(instance)
        }
    }

    private fun list(instance: Instance) {
        instance.span = WatchSpan(setOf(kind), Revision(revision))
        apply(instance, listed())
    }

    private fun listed() = ObjectEvent.Listed(setOf(kind), Revision(revision), store.values.toList())

    private fun apply(
        instance: Instance,
        event: ObjectEvent,
    ) {
        val changes = instance.cache.apply(membership.now, event)
        perform(instance, instance.exchange.changed(changes))
        describe(instance)
    }

    private fun describe(instance: Instance) {
        val event = MembershipEvent.Configured(instance.cache.revision, instance.cache.contentHash)
        membership.tell(instance.node, event)
    }

    private fun perform(
        instance: Instance,
        actions: List<ExchangeAction>,
    ) {
        val settings = CacheExchangeSettings()
        actions.forEach { action ->
            when (action) {
                is ExchangeAction.PassOn -> {
                    instance.node.machine
                        .targets(settings.ownZoneTargets, settings.otherZoneTargets)
                        .forEach { objects(instance, it.id, action.items) }
                }

                is ExchangeAction.SendObjects -> {
                    objects(instance, action.to, action.items)
                }

                is ExchangeAction.SendDigest -> {
                    digest(instance, action)
                }
            }
        }
    }

    private fun objects(
        from: Instance,
        to: InstanceId,
        items: List<StoredObject>,
    ) = post(from, to, cbor.encodeToByteArray(items).size) { apply(it, ObjectEvent.FromPeer(items)) }

    private fun digest(
        from: Instance,
        action: ExchangeAction.SendDigest,
    ) = post(from, action.to, cbor.encodeToByteArray(action.digest).size) {
        perform(it, it.exchange.digest(membership.now, from.node.record.id, action.digest))
        describe(it)
    }

    private fun post(
        from: Instance,
        to: InstanceId,
        bytes: Int,
        receive: (Instance) -> Unit,
    ) {
        val target = instances[to] ?: return
        membership.post(from.node, target.node.record.copy(state = MemberState.ALIVE), bytes) { receive(target) }
    }
}
