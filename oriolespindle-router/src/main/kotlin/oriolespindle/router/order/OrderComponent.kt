package oriolespindle.router.order

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import oriolespindle.core.chain.EndpointAvailability
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.StoredObject
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.lease.LeaseAction
import oriolespindle.core.lease.LeaseEvent
import oriolespindle.core.lease.LeaseHolder
import oriolespindle.core.lease.LeaseSettings
import oriolespindle.core.membership.Member
import oriolespindle.core.membership.Rendezvous
import oriolespindle.core.order.OperatorOrder
import oriolespindle.core.order.OrderAction
import oriolespindle.core.order.OrderAnswer
import oriolespindle.core.order.OrderCodec
import oriolespindle.core.order.OrderEvent
import oriolespindle.core.order.OrderLease
import oriolespindle.core.order.OrderMachine
import oriolespindle.core.order.OrderProgress
import oriolespindle.core.order.OrderedEndpoint
import oriolespindle.core.time.Timestamp
import oriolespindle.router.directory.Directory
import oriolespindle.router.http.Address
import oriolespindle.router.http.HttpClient
import oriolespindle.router.logging.EventLog
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.runtime.Component
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Carries out operators' orders while this instance holds the order lease. All work runs on one thread. */
internal class OrderComponent(
    private val self: InstanceId,
    http: HttpClient,
    platform: PlatformClient,
    private val timers: TimerService,
) {
    private val component = Component<() -> Unit>("orders", RING_CAPACITY) { it() }
    private val engines = EngineOrders(http)
    private val lease = LeaseHolder(LeaseSettings(self))
    private val leaseStore = LeaseStore(platform, ::post)
    private val machine = OrderMachine()
    private val directory = Directory()
    private val rendezvous = Rendezvous("lease")
    private val orders = HashMap<String, OperatorOrder>()
    private val progress = LinkedHashMap<String, OrderProgress>()
    private var fence: Long? = null

    fun start() {
        component.start()
        timers.every(TICK_INTERVAL) { component.offer(::tick) }
    }

    /** Called with changed endpoints, models and orders. */
    fun onObjectsChanged(items: List<StoredObject>) = post { apply(items) }

    /** Called with the members of the fleet; the first [MAX_CANDIDATES] by rendezvous hashing may take the lease. */
    fun onMembersChanged(members: List<Member>) =
        post {
            val rank = rendezvous.rankOrNull(self, members, MAX_CANDIDATES)
            handleLeaseEvent(LeaseEvent.Candidate(rank))
        }

    /** Called with the availability of endpoints, since an order must not leave a layer without a serving endpoint. */
    fun onAvailabilityChanged(states: Map<EndpointId, EndpointAvailability>) =
        post {
            states.forEach { (endpoint, state) ->
                handleOrderEvent(OrderEvent.Availability(endpoint, state is EndpointAvailability.Serving))
            }
        }

    /** Called after this process was paused, during which its lease may have expired. */
    fun wokeFromPause() = post { handleLeaseEvent(LeaseEvent.Paused) }

    /** Releases the lease, unless an order in flight can still take effect. */
    fun stop() = post { if (!machine.hasOrdersInFlight(monotonicNow())) handleLeaseEvent(LeaseEvent.Release) }

    /** Passes the status of the lease and the orders to [answer], on this component's thread. */
    fun status(answer: (JsonObject) -> Unit) = post { answer(report()) }

    private fun report(): JsonObject =
        buildJsonObject {
            put("holdsLease", fence != null)
            fence?.let { put("fence", it) }
            putJsonObject("progress") { progress.forEach { (name, state) -> put(name, state.name.lowercase()) } }
        }

    private fun post(block: () -> Unit) {
        if (!component.offer(block)) timers.after(RING_RETRY_DELAY) { post(block) }
    }

    private fun tick() {
        handleLeaseEvent(LeaseEvent.Tick)
        handleOrderEvent(OrderEvent.Tick)
    }

    private fun apply(items: List<StoredObject>) {
        var ordersChanged = false
        for (item in items) {
            when (item.key.kind) {
                ObjectKind.ENDPOINT, ObjectKind.MODEL -> {
                    directory.apply(item)
                }

                ObjectKind.ORDER -> {
                    ordersChanged = true
                    applyOrder(item)
                }

                else -> {
                    Unit
                }
            }
        }
        handleOrderEvent(
            OrderEvent.Endpoints(directory.engines().map { OrderedEndpoint(it.id, directory.checksFence(it.id)) }),
        )
        if (ordersChanged) handleOrderEvent(OrderEvent.Desired(orders.values.toList()))
    }

    private fun applyOrder(item: StoredObject) {
        val order = OrderCodec.parseOrNull(item)
        if (order != null) {
            orders[item.key.name] = order
        } else {
            orders.remove(item.key.name)
            progress.remove(item.key.name)
        }
    }

    private fun handleLeaseEvent(event: LeaseEvent) {
        for (action in lease.handle(monotonicNow(), event)) {
            when (action) {
                is LeaseAction.Read -> leaseStore.read { handleLeaseEvent(it) }
                is LeaseAction.Perform -> leaseStore.perform(action.action) { handleLeaseEvent(it) }
                is LeaseAction.Held -> onLeaseHeld(action)
                is LeaseAction.Lost -> onLeaseLost(action)
            }
        }
    }

    private fun onLeaseHeld(action: LeaseAction.Held) {
        if (fence != action.fence) EventLog.info("order lease acquired", "fence" to action.fence)
        fence = action.fence
        val held = OrderLease(action.fence, action.quietFrom, action.validUntil)
        handleOrderEvent(OrderEvent.LeaseChanged(held))
    }

    private fun onLeaseLost(action: LeaseAction.Lost) {
        EventLog.warn("order lease lost", "reason" to action.reason)
        fence = null
        handleOrderEvent(OrderEvent.LeaseChanged(null))
    }

    private fun handleOrderEvent(event: OrderEvent) {
        for (action in machine.handle(monotonicNow(), event)) {
            when (action) {
                is OrderAction.Send -> send(action)
                is OrderAction.ReadState -> readState(action.endpoint)
                is OrderAction.Report -> onReport(action)
            }
        }
    }

    private fun send(action: OrderAction.Send) {
        val endpoint = action.order.endpoint
        val address = addressOf(endpoint)
        val now: Timestamp = monotonicNow()
        if (address == null || !lease.mayAct(now, action.expiresIn)) {
            post { handleOrderEvent(OrderEvent.Answered(endpoint, OrderAnswer.NotSent)) }
            return
        }
        engines.send(address, action) { answer -> post { handleOrderEvent(OrderEvent.Answered(endpoint, answer)) } }
    }

    private fun readState(endpoint: EndpointId) {
        val address = addressOf(endpoint)
        if (address == null) {
            post { handleOrderEvent(OrderEvent.StateRead(endpoint, null)) }
            return
        }
        engines.readState(address) { state -> post { handleOrderEvent(OrderEvent.StateRead(endpoint, state)) } }
    }

    private fun onReport(action: OrderAction.Report) {
        progress[action.order.name] = action.progress
        EventLog.info(
            "order progress",
            "order" to action.order.name,
            "endpoint" to action.order.endpoint,
            "progress" to action.progress,
        )
    }

    private fun addressOf(endpoint: EndpointId): Address? =
        directory.engine(endpoint)?.let { Address.parseOrNull(it.address) }

    private companion object {
        const val RING_CAPACITY = 4_096

        /** More than one instance reads the lease, so that a candidate remains while others are replaced. */
        const val MAX_CANDIDATES = 3
        val TICK_INTERVAL: Duration = 250.milliseconds
        val RING_RETRY_DELAY: Duration = 2.milliseconds
    }
}
