package oriolespindle.core.order

import oriolespindle.core.id.EndpointId
import oriolespindle.core.lease.LeaseAction
import oriolespindle.core.lease.LeaseFleet
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A fake engine that accepts orders and counts those that are stale or overlap with a running load. */
internal class FakeEngine(
    val id: EndpointId,
    val checksFence: Boolean,
    var state: EndpointState,
) {
    /** The layers that the engine can run at the moment. */
    var heldLayers = state.layers
        private set
    var newestFence = 0L
    var acceptedOrders = 0
    var staleOrders = 0
    var overlappingOrders = 0

    fun receive(
        send: OrderAction.Send,
        fleet: OrderFleet,
    ): OrderAnswer {
        if (checksFence && send.fence < newestFence) {
            staleOrders++
            return OrderAnswer.StaleFence(newestFence)
        }
        newestFence = maxOf(newestFence, send.fence)
        if (state.loading) overlappingOrders++
        acceptedOrders++
        when (val command = send.order.command) {
            is OrderCommand.ChangeRole -> state = state.copy(role = command.role)
            is OrderCommand.Unload -> unload()
            is OrderCommand.Load -> load(command, fleet)
        }
        return OrderAnswer.Accepted
    }

    private fun unload() {
        heldLayers = null
        state = EndpointState(null, null, null, role = state.role)
    }

    private fun load(
        command: OrderCommand.Load,
        fleet: OrderFleet,
    ) {
        val done = EndpointState(command.model, command.layers, command.version, command.adapter, state.role)
        val keepsLayers = heldLayers?.let { state.version == command.version && it in command.layers } ?: false
        if (!keepsLayers) heldLayers = null
        state = done.copy(layers = heldLayers, loading = true)
        fleet.onLoadStarted(command.bytes)
        fleet.lease.time.after(fleet.loadTime) {
            state = done
            heldLayers = command.layers
        }
    }
}

/** Simulates lease holders and order machines of several instances with fake engines, in virtual time. */
internal class OrderFleet(
    seed: Long,
    size: Int,
    engines: List<FakeEngine>,
    private val settings: OrderSettings = OrderSettings(),
) {
    val lease = LeaseFleet(seed, size)
    val engines = engines.associateBy { it.id }
    val machines = lease.nodes.map { OrderMachine(settings) }
    val reports = ArrayList<OrderAction.Report>()
    var loadTime: Duration = 3.seconds
    var loads = ArrayList<Pair<Timestamp, Long>>()

    /** Freezes the sender of the next order for this long, between its last check and the write to the connection. */
    var freezeAfterCheck: Duration? = null

    /** Returns whether the answer to the next order is lost after the engine has processed the order. */
    var loseAnswer: () -> Boolean = { false }

    init {
        lease.nodes.forEachIndexed { index, node ->
            node.onAction = { action -> onLeaseAction(index, action) }
            val all = OrderEvent.Endpoints(engines.map { OrderedEndpoint(it.id, it.checksFence) })
            deliver(index, all)
            scheduleTick(index)
        }
    }

    fun submit(vararg orders: OperatorOrder) =
        machines.indices.forEach { deliver(it, OrderEvent.Desired(orders.toList())) }

    fun run(duration: Duration) = lease.time.run(duration)

    fun onLoadStarted(bytes: Long) {
        loads += lease.time.now to bytes
    }

    private fun deliver(
        index: Int,
        event: OrderEvent,
    ) {
        val node = lease.nodes[index]
        if (node.resumeTime() > lease.time.now) {
            lease.time.at(node.resumeTime()) { deliver(index, event) }
            return
        }
        machines[index].handle(node.clock(), event).forEach { perform(index, it) }
    }

    private fun scheduleTick(index: Int) {
        lease.time.after(100.milliseconds) {
            val node = lease.nodes[index]
            if (node.resumeTime() == lease.time.now) deliver(index, OrderEvent.Tick)
            scheduleTick(index)
        }
    }

    private fun onLeaseAction(
        index: Int,
        action: LeaseAction,
    ) {
        val held = (action as? LeaseAction.Held)?.let { OrderLease(it.fence, it.quietFrom, it.validUntil) }
        deliver(index, OrderEvent.LeaseChanged(held))
    }

    private fun perform(
        index: Int,
        action: OrderAction,
    ) {
        when (action) {
            is OrderAction.Report -> {
                reports += action
            }

            is OrderAction.ReadState -> {
                lease.time.after(2.milliseconds) {
                    val state = engines.getValue(action.endpoint).state
                    lease.time.after(2.milliseconds) { deliver(index, OrderEvent.StateRead(action.endpoint, state)) }
                }
            }

            is OrderAction.Send -> {
                send(index, action)
            }
        }
    }

    private fun send(
        index: Int,
        action: OrderAction.Send,
    ) {
        val node = lease.nodes[index]
        if (node.resumeTime() > lease.time.now) {
            lease.time.at(node.resumeTime()) { send(index, action) }
            return
        }
        if (node.clock() > action.notAfter) {
            deliver(index, OrderEvent.Answered(action.order.endpoint, OrderAnswer.NotSent))
            return
        }
        freezeAfterCheck?.let {
            node.pausedUntil = lease.time.now + it
            freezeAfterCheck = null
        }
        lease.time.at(node.resumeTime() + 2.milliseconds) {
            val answer = engines.getValue(action.order.endpoint).receive(action, this)
            val delivered = if (loseAnswer()) OrderAnswer.Unconfirmed else answer
            lease.time.after(2.milliseconds) { deliver(index, OrderEvent.Answered(action.order.endpoint, delivered)) }
        }
    }
}
