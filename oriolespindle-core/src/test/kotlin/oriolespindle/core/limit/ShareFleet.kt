package oriolespindle.core.limit

import oriolespindle.core.contract.Contract
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The faults of messages between two instances. */
internal data class LinkFaults(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val maxDelay: Duration = 2.milliseconds,
)

/** A simulated instance: a ledger and a limiter with their own clock. */
internal class FleetNode(
    val id: InstanceId,
    val zone: ZoneId,
    private val clockOffset: Long,
    startedAt: Duration,
) {
    val ledger = ShareLedger(id, ShareSettings(zone))
    val limiter = TeamLimiter()
    var isDead = false
    var isRestarting = false
    var pausedAt: Duration? = null
    var nextTick = startedAt
    var nextPoll = startedAt
    var rate = 0.0
    var allotment: Allotment? = null

    val isRunning get() = !isDead && pausedAt == null

    fun clock(now: Duration): Timestamp = Timestamp(now.inWholeNanoseconds + clockOffset)

    /** Returns the units that this node may use now or when it resumes. */
    fun usableUnits(
        now: Duration,
        key: LimitKey,
    ): Int {
        val paused = pausedAt
        return if (isDead || (paused != null && now - paused > 3.seconds)) 0 else ledger.usable(key)
    }
}

/** A simulated fleet with its network and platform, run in steps of virtual time from one seed. */
internal class ShareFleet(
    seed: Long,
    size: Int,
    private val contract: Contract,
    var faults: LinkFaults = LinkFaults(),
) {
    val random = SplittableRandom(seed)
    val nodes = mutableListOf<FleetNode>()
    val admitted = mutableListOf<Duration>()
    val admittedBy = mutableMapOf<InstanceId, Int>()
    var offered = 0
    var now = Duration.ZERO
    var platformUp = true
    var partitionedZones = setOf<ZoneId>()
    var zonesWithoutPlatform = setOf<ZoneId>()
    var holdTime = 50.milliseconds
    val key = LimitKey(contract.team, LimitKind.REQUESTS)
    private val slotKey = LimitKey(contract.team, LimitKind.CONCURRENCY)
    private val queue = PriorityQueue<Delivery>(compareBy({ it.at }, { it.order }))
    private val gone = mutableSetOf<InstanceId>()
    private var stored: Allotment? = null
    private var order = 0L
    private var slotsInUse = 0
    var maxUsableSum = 0L
        private set
    var maxSlotsInUse = 0
        private set

    init {
        repeat(size) { add() }
        stored = Allotment.start(nodes.map { it.id })
    }

    fun add(): FleetNode {
        val zone = ZoneId("z${nodes.size % 3}")
        val node = FleetNode(InstanceId("i%03d".format(nodes.size)), zone, random.nextLong(1L shl 50), now)
        nodes += node
        dispatch(node, ShareEvent.Contracts(listOf(TeamSlots(contract.team, contract.concurrency))))
        for (other in nodes.filter { it.isRunning }) updatePeers(other)
        return node
    }

    fun kill(node: FleetNode) {
        node.isDead = true
        gone += node.id
    }

    /** Makes the platform report the paused [node] as gone. */
    fun reportGone(node: FleetNode) {
        gone += node.id
    }

    fun pause(node: FleetNode) {
        node.pausedAt = now
    }

    fun resume(node: FleetNode) {
        node.pausedAt = null
        dispatch(node, ShareEvent.Tick)
    }

    fun run(
        time: Duration,
        step: Duration = 10.milliseconds,
        beforeStep: () -> Unit = {},
    ) {
        val end = now + time
        while (now < end) {
            now += step
            beforeStep()
            deliver()
            nodes.filter { it.isRunning }.forEach { runNode(it, step) }
            val sum = nodes.sumOf { it.usableUnits(now, key).toLong() }
            maxUsableSum = maxOf(maxUsableSum, sum)
        }
    }

    /** Returns the units held by all nodes that are alive, whether or not they may use them now. */
    fun heldUnits(): Long = nodes.filterNot { it.isDead }.sumOf { it.ledger.holding(key) }

    /** Returns the largest number of requests admitted in any [window]. */
    fun mostAdmitted(window: Duration): Int {
        var first = 0
        var most = 0
        for ((last, at) in admitted.withIndex()) {
            while (admitted[first] <= at - window) first++
            most = maxOf(most, last - first + 1)
        }
        return most
    }

    fun admittedIn(
        from: Duration,
        to: Duration,
    ): Int = admitted.count { it > from && it <= to }

    private fun runNode(
        node: FleetNode,
        step: Duration,
    ) {
        if (now >= node.nextTick) {
            node.nextTick = now + 100.milliseconds
            dispatch(node, ShareEvent.Tick)
            if (node.isRunning) dispatch(node, ShareEvent.Usage(node.limiter.usage(node.clock(now))))
        }
        if (now >= node.nextPoll) {
            node.nextPoll = now + 1.seconds
            poll(node)
        }
        val expected = node.rate * step.inWholeMicroseconds / 1e6
        val arrivals = expected.toInt() + if (random.nextDouble() < expected - expected.toInt()) 1 else 0
        repeat(arrivals) { if (node.isRunning) offerRequest(node) }
    }

    private fun offerRequest(node: FleetNode) {
        offered++
        val decision = node.limiter.admit(node.clock(now), contract.team, TokenCost.NONE, contract)
        if (decision !is LimitDecision.Admitted) return
        admitted += now
        admittedBy.merge(node.id, 1, Int::plus)
        slotsInUse++
        maxSlotsInUse = maxOf(maxSlotsInUse, slotsInUse)
        schedule(now + holdTime) {
            slotsInUse--
            node.limiter.settle(node.clock(now), decision.permit, TokenCost.NONE)
        }
    }

    private fun poll(node: FleetNode) {
        val other = nodes[random.nextInt(nodes.size)]
        node.allotment?.let { allotment -> transmit(node, other) { read(other, allotment, null) } }
        if (!reachesPlatform(node)) return
        dispatch(node, ShareEvent.PlatformList(nodes.map { it.id }.filter { it !in gone }, gone.toList()))
        readStored(node)
    }

    private fun readStored(node: FleetNode) {
        if (!reachesPlatform(node)) return
        val requestedAt = node.clock(now)
        schedule(now + random.nextLong(1, 20).milliseconds) {
            val allotment = stored
            when {
                !node.isRunning || random.nextDouble() < faults.loss -> Unit
                allotment == null -> dispatch(node, ShareEvent.AllotmentMissing)
                else -> read(node, allotment, requestedAt)
            }
        }
    }

    private fun read(
        node: FleetNode,
        allotment: Allotment,
        requestedAt: Timestamp?,
    ) {
        if (allotment.generation >= (node.allotment?.generation ?: 0)) node.allotment = allotment
        dispatch(node, ShareEvent.AllotmentRead(allotment, requestedAt))
    }

    private fun dispatch(
        node: FleetNode,
        event: ShareEvent,
    ) {
        for (action in node.ledger.handle(node.clock(now), event)) {
            when (action) {
                is ShareAction.Send -> {
                    send(node, action)
                }

                is ShareAction.Apply -> {
                    apply(node, action.update)
                }

                is ShareAction.ReadAllotment -> {
                    readStored(node)
                }

                is ShareAction.Propose -> {
                    propose(node, action)
                }

                is ShareAction.Restart -> {
                    node.isDead = true
                    node.isRestarting = true
                }
            }
        }
    }

    private fun apply(
        node: FleetNode,
        update: ShareUpdate,
    ) {
        node.limiter.apply(update)
        dispatch(node, ShareEvent.Usage(node.limiter.usage(node.clock(now))))
    }

    private fun propose(
        node: FleetNode,
        action: ShareAction.Propose,
    ) {
        if (!reachesPlatform(node) || stored?.generation != action.expectedGeneration) return
        // The allotment is stored as JSON, so that every run exercises the codec.
        stored = Allotment.parseOrNull(action.next.encode())
    }

    private fun send(
        node: FleetNode,
        action: ShareAction.Send,
    ) {
        val target = nodes.find { it.id == action.to } ?: return
        transmit(node, target) { dispatch(target, ShareEvent.Received(node.id, action.message)) }
    }

    private fun transmit(
        from: FleetNode,
        to: FleetNode,
        effect: () -> Unit,
    ) {
        val copies = if (random.nextDouble() < faults.duplication) 2 else 1
        repeat(copies) {
            val delay = random.nextLong(1, faults.maxDelay.inWholeMicroseconds).toDouble() / 1e6
            val lost = random.nextDouble() < faults.loss || isPartitioned(from, to)
            if (!lost) schedule(now + delay.seconds) { receive(to, effect) }
        }
    }

    private fun receive(
        to: FleetNode,
        effect: () -> Unit,
    ) {
        when {
            to.isDead -> Unit
            to.pausedAt != null -> schedule(now + 100.milliseconds) { receive(to, effect) }
            else -> effect()
        }
    }

    private fun updatePeers(node: FleetNode) {
        val peers = nodes.filter { it !== node && !it.isDead }.map { SharePeer(it.id, it.zone) }
        dispatch(node, ShareEvent.Peers(peers))
    }

    private fun isPartitioned(
        from: FleetNode,
        to: FleetNode,
    ): Boolean = from.zone != to.zone && (from.zone in partitionedZones || to.zone in partitionedZones)

    private fun reachesPlatform(node: FleetNode): Boolean = platformUp && node.zone !in zonesWithoutPlatform

    private fun schedule(
        at: Duration,
        effect: () -> Unit,
    ) {
        queue += Delivery(at, order++, effect)
    }

    private fun deliver() {
        while (queue.isNotEmpty() && queue.peek().at <= now) queue.poll().effect()
    }

    private class Delivery(
        val at: Duration,
        val order: Long,
        val effect: () -> Unit,
    )
}
