package oriolespindle.core.lease

import oriolespindle.core.VirtualTime
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WriteAction
import oriolespindle.core.config.WriteEvent
import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Simulates lease holders with clocks of different rates and a platform that loses answers, in virtual time. */
internal class LeaseFleet(
    seed: Long,
    size: Int,
    private val drift: Double = 0.0,
    private val ranked: Boolean = true,
    private val settings: LeaseSettings = LeaseSettings(InstanceId("router")),
) {
    inner class Node(
        val index: Int,
        private val rate: Double,
    ) {
        val holder = LeaseHolder(settings.copy(self = InstanceId("router-$index")))
        val actions = ArrayList<LeaseAction>()
        var pausedUntil: Timestamp? = null

        /** Whether this node cannot reach the platform. */
        var isCutOff = false
        var onAction: (LeaseAction) -> Unit = {}

        /** Returns the time of the node's own clock, whose origin and rate differ from those of the other nodes. */
        fun clock(): Timestamp = Timestamp((time.now.nanos * rate).toLong() + index * 1_000_000_000_000L)

        fun resumeTime(): Timestamp = pausedUntil?.let { maxOf(it, time.now) } ?: time.now

        fun mayAct(): Boolean = holder.mayAct(clock(), Duration.ZERO)

        fun tell(event: LeaseEvent) {
            if (resumeTime() > time.now) {
                time.at(resumeTime()) { tell(event) }
                return
            }
            holder.handle(clock(), event).forEach { perform(this, it) }
        }
    }

    private val random = SplittableRandom(seed)
    val time = VirtualTime()
    val nodes =
        List(size) { index -> Node(index, 1 + drift * (2.0 * index / maxOf(1, size - 1) - 1)) }
    var lease: StoredObject? = null
    var revision = 100L
    var isDown = false

    /** Whether the platform accepts calls without ever answering them. */
    var isSilent = false
    var answerLossRate = 0.0
    var reads = 0

    init {
        nodes.forEach { node ->
            node.tell(LeaseEvent.Candidate(if (ranked) node.index else 0))
            tick(node)
        }
    }

    fun holders(): List<Node> = nodes.filter { it.mayAct() }

    fun fences(): List<Long> = nodes.flatMap { it.actions }.filterIsInstance<LeaseAction.Held>().map { it.fence }

    private fun tick(node: Node) {
        time.after(100.milliseconds) {
            val due = node.holder.nextTimer()
            if (node.resumeTime() == time.now && due != null && due <= node.clock()) node.tell(LeaseEvent.Tick)
            tick(node)
        }
    }

    private fun perform(
        node: Node,
        action: LeaseAction,
    ) {
        when (action) {
            LeaseAction.Read -> {
                reads++
                answer(node) { LeaseEvent.Observed(lease) }
            }

            is LeaseAction.Perform -> {
                write(node, action.action)
            }

            else -> {
                node.actions += action
                node.onAction(action)
            }
        }
    }

    private fun answer(
        node: Node,
        read: () -> LeaseEvent,
    ) {
        if (isDown || isSilent || node.isCutOff) return
        time.after(5.milliseconds) {
            val event = read()
            if (random.nextDouble() >= answerLossRate) time.after(5.milliseconds) { node.tell(event) }
        }
    }

    private fun write(
        node: Node,
        action: WriteAction,
    ) {
        if (isSilent) return
        if (isDown || node.isCutOff) {
            time.after(1.milliseconds) { node.tell(LeaseEvent.Write(WriteEvent.Unavailable)) }
            return
        }
        time.after(5.milliseconds) {
            val result = executeWrite(action)
            val lost = random.nextDouble() < answerLossRate
            val event = if (lost) WriteEvent.AnswerLost else result
            time.after(if (lost) 500.milliseconds else 5.milliseconds) { node.tell(LeaseEvent.Write(event)) }
        }
    }

    private fun executeWrite(action: WriteAction): WriteEvent {
        if (action !is WriteAction.Write) return WriteEvent.ReadBack(lease)
        if (lease?.version != action.expected) return WriteEvent.Conflict(lease)
        lease = StoredObject(KEY, Revision(++revision), action.value)
        return WriteEvent.Applied(Revision(revision))
    }

    private companion object {
        val KEY: ObjectKey = LeaseSettings(InstanceId("any")).key
    }
}
