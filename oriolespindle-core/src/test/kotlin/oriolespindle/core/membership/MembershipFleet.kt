package oriolespindle.core.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import oriolespindle.core.VirtualTime
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Simulates a fleet of [Membership] instances that exchange messages over a lossy network, in virtual time. */
@OptIn(ExperimentalSerializationApi::class)
internal class MembershipFleet(
    seed: Long,
    private val zones: Int,
    private val loss: Double = 0.0,
) {
    class Node(
        val record: MemberRecord,
        val machine: Membership,
    ) {
        var sentBytes = 0L
        var receivedBytes = 0L
        var events = 0L
        val actions = ArrayList<Pair<Timestamp, MembershipAction>>()
        var frozenUntil: Timestamp? = null
    }

    private val cbor = Cbor { useDefiniteLengthEncoding = true }
    private val random = SplittableRandom(seed)
    private val time = VirtualTime()
    private var platformVersion = 0L
    private var startedCount = 0

    val nodes = LinkedHashMap<InstanceId, Node>()
    val gone = ArrayList<MemberRecord>()

    /** Called when an instance learns the configuration of another: the receiver, the sender and the report. */
    var onReport: (Node, Node, MembershipAction.Reported) -> Unit = { _, _, _ -> }

    /** Returns whether messages from the first to the second instance are delivered. */
    var connected: (MemberRecord, MemberRecord) -> Boolean = { _, _ -> true }
    val now: Timestamp get() = time.now

    fun start(count: Int): List<Node> =
        List(count) {
            val number = startedCount++
            val record =
                MemberRecord(
                    id = InstanceId("router-%04d".format(number)),
                    zone = ZoneId("zone-${number % zones}"),
                    address = "10.${number % zones}.${number / 250}.${number % 250}:7400",
                )
            val node = Node(record, Membership(record, MembershipSettings(), random.split()))
            nodes[record.id] = node
            scheduleTimer(node)
            node
        }

    fun kill(node: Node) {
        nodes.remove(node.record.id)
        gone += node.record.copy(state = MemberState.GONE)
    }

    /** Delivers the platform's list to [receivers]. */
    fun list(receivers: Collection<Node> = nodes.values) {
        val entries = nodes.values.map { it.record } + gone
        platformVersion++
        receivers.forEach { deliver(it, MembershipEvent.PlatformList(platformVersion, entries)) }
    }

    fun run(duration: Duration) = time.run(duration)

    /** Returns the states of the instances as [node] sees them. */
    fun view(node: Node): Map<InstanceId, MemberState> =
        node.machine.members(now).associate { it.id to it.record.state }

    fun allSeeAllAlive(): Boolean =
        nodes.values.all { node ->
            view(node).filterKeys { it in nodes }.run { size == nodes.size && values.all { it == MemberState.ALIVE } }
        }

    /** Sends a message of [size] bytes, and runs [receive] at its receiver if it is delivered. */
    fun post(
        from: Node,
        to: MemberRecord,
        size: Int,
        receive: (Node) -> Unit,
    ) {
        val bytes = size + FRAME_BYTES
        from.sentBytes += bytes
        val target = nodes[to.id] ?: return
        if (!connected(from.record, to) || random.nextDouble() < loss) return
        at(now + 500.microseconds) {
            target.receivedBytes += bytes
            if (nodes[to.id] === target) receive(target)
        }
    }

    fun tell(
        node: Node,
        event: MembershipEvent,
    ) = deliver(node, event)

    fun at(
        moment: Timestamp,
        run: () -> Unit,
    ) = time.at(moment, run)

    private fun scheduleTimer(node: Node) {
        val due = maxOf(node.machine.nextTimer(), now, node.frozenUntil ?: now)
        at(due) {
            if (nodes[node.record.id] !== node) return@at
            if (node.machine.nextTimer() <= now) deliver(node, MembershipEvent.Tick)
            scheduleTimer(node)
        }
    }

    private fun isFrozen(node: Node): Boolean = node.frozenUntil?.let { it > now } ?: false

    private fun deliver(
        node: Node,
        event: MembershipEvent,
    ) {
        if (nodes[node.record.id] !== node) return
        if (isFrozen(node)) {
            if (event != MembershipEvent.Tick) at(checkNotNull(node.frozenUntil)) { deliver(node, event) }
            return
        }
        node.events++
        node.machine.handle(now, event).forEach { perform(node, it) }
    }

    private fun perform(
        node: Node,
        action: MembershipAction,
    ) {
        when (action) {
            is MembershipAction.SendPing -> {
                send(
                    node,
                    action.to,
                    action.gossip,
                    MembershipEvent.PingReceived(action.gossip),
                )
            }

            is MembershipAction.SendAck -> {
                send(
                    node,
                    action.to,
                    action.gossip,
                    MembershipEvent.AckReceived(action.gossip),
                )
            }

            is MembershipAction.Reported -> {
                nodes[action.instance]?.let { onReport(node, it, action) }
            }

            else -> {
                node.actions += now to action
            }
        }
    }

    private fun send(
        from: Node,
        to: MemberRecord,
        gossip: Gossip,
        event: MembershipEvent,
    ) {
        post(from, to, cbor.encodeToByteArray(gossip).size) { deliver(it, event) }
    }

    private companion object {
        /** Overhead of a message: the length prefix of the frame, and the array and type name around the payload. */
        const val FRAME_BYTES = 4 + 8
    }
}
