package oriolespindle.router.relay

import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.WriteAction
import oriolespindle.core.config.WriteEvent
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ServiceId
import oriolespindle.core.lease.LeaseAction
import oriolespindle.core.lease.LeaseEvent
import oriolespindle.core.lease.LeaseHolder
import oriolespindle.core.lease.LeaseSettings
import oriolespindle.core.placement.ColdStart
import oriolespindle.core.placement.LayerOrder
import oriolespindle.core.placement.LayerPlacer
import oriolespindle.core.placement.ModelLayout
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.relay.RelayService
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Orders engines to load layers while this instance holds the placement lease. Confined to the event loop. */
internal class PlacementComponent(
    private val context: RelayContext,
    self: InstanceId,
    private val objects: SharedObjects,
) {
    /** An order to load [layers] to the process started at [startedAt], which is dropped at [expiresAt]. */
    private class PlannedLoad(
        val layers: LayerRange,
        val startedAt: Long,
        val expiresAt: Timestamp,
    )

    /** The number of orders that the process started at [startedAt] has accepted. */
    private class OrderCount(
        val startedAt: Long,
        val accepted: Long,
    )

    private val lease = LeaseHolder(leaseSettings(self))
    private val placer = LayerPlacer()
    private val coldStarts = HashMap<ServiceId, ColdStart>()
    private val planned = HashMap<EndpointId, PlannedLoad>()
    private val orderCounts = HashMap<EndpointId, OrderCount>()
    private var fence: Long? = null

    /** Whether this instance holds the lease for long enough to send an order now. */
    val holdsLease: Boolean get() = fence != null && lease.mayAct(monotonicNow(), MAX_ORDER_TIME)

    fun start(rank: Int) {
        handle(LeaseEvent.Candidate(rank))
        context.timers.every(TICK_INTERVAL, ::tick)
    }

    /** Updates the number of instances that are candidates for the lease. */
    fun onInstanceCountChanged(count: Int) {
        lease.candidateCount = maxOf(1, count)
    }

    /** Releases the lease, so that another instance can take over at once. */
    fun stop() = handle(LeaseEvent.Release)

    private fun tick() {
        val due = lease.nextTimer()
        if (due != null && monotonicNow() >= due) handle(LeaseEvent.Tick)
        placeLayers()
    }

    private fun handle(event: LeaseEvent) {
        for (action in lease.handle(monotonicNow(), event)) {
            when (action) {
                LeaseAction.Read -> objects.read(KEY, mayBeStale = true, ::onLeaseRead)
                is LeaseAction.Perform -> perform(action.action)
                is LeaseAction.Held -> onLeaseHeld(action.fence)
                is LeaseAction.Lost -> onLeaseLost(action)
            }
        }
    }

    private fun onLeaseRead(event: WriteEvent) {
        if (event is WriteEvent.ReadBack) handle(LeaseEvent.Observed(event.current))
    }

    private fun perform(action: WriteAction) {
        val deliver = { event: WriteEvent -> handle(LeaseEvent.Write(event)) }
        when (action) {
            is WriteAction.Write -> objects.write(action, deliver)
            is WriteAction.Read -> objects.read(action.key, mayBeStale = false, deliver)
            is WriteAction.Wait, is WriteAction.Finish -> error("a lease holder emits neither Wait nor Finish")
        }
    }

    private fun onLeaseHeld(newFence: Long) {
        if (fence == newFence) return
        fence = newFence
        planned.clear()
        orderCounts.clear()
        EventLog.info("placement lease acquired", "fence" to newFence)
    }

    private fun onLeaseLost(action: LeaseAction.Lost) {
        fence = null
        EventLog.info("placement lease lost", "reason" to action.reason)
    }

    private fun placeLayers() {
        val now = monotonicNow()
        val services =
            context.configuration.current
                ?.modelServices
                .orEmpty()
        for (service in services) {
            val endpoints = context.directory.registered(now, service.id)
            // Candidates without the lease track registrations too, so that a successor can place layers at once.
            val mayPlace = coldStarts.getOrPut(service.id) { ColdStart() }.mayPlace(now, endpoints)
            if (!mayPlace || !holdsLease) continue
            removeFinishedPlans(now, endpoints)
            val ranges = planned.mapValues { it.value.layers }
            placer.orders(checkNotNull(service.model), endpoints, ranges).forEach { startOrder(now, service, it) }
        }
    }

    /** Removes plans that are carried out or expired, or whose endpoint is gone or has restarted. */
    private fun removeFinishedPlans(
        now: Timestamp,
        endpoints: List<RelayEndpoint>,
    ) {
        val byId = endpoints.associateBy { it.id }
        planned.entries.removeIf { (id, plan) ->
            val endpoint = byId[id]
            endpoint == null || endpoint.layers == plan.layers || endpoint.startedAt != plan.startedAt ||
                now >= plan.expiresAt
        }
    }

    private fun startOrder(
        now: Timestamp,
        service: RelayService,
        order: LayerOrder,
    ) {
        val endpoint = order.endpoint
        val model = checkNotNull(service.model)
        planned[endpoint.id] = PlannedLoad(order.layers, endpoint.startedAt, now + loadTimeout(model, order.layers))
        EventLog.info(
            "order to load layers",
            "endpoint" to endpoint.id,
            "address" to endpoint.address,
            "zone" to endpoint.zone,
            "layers" to order.layers,
            "held" to endpoint.layers,
            "cuts_off" to order.cutsOff,
        )
        val known = orderCounts[endpoint.id]?.takeIf { it.startedAt == endpoint.startedAt }?.accepted
        // A process without layers has most likely accepted no order; if it has, it refuses this one.
        val count = known ?: 0L.takeIf { endpoint.layers == null }
        if (count != null) send(order, count) else readAcceptedOrders(endpoint) { send(order, it) }
    }

    private fun send(
        order: LayerOrder,
        acceptedOrders: Long,
    ) {
        val current = fence ?: return
        val endpoint = order.endpoint
        context.engines.place(order, acceptedOrders, current) { result ->
            context.metrics.onOrderEnded(result.name.lowercase())
            if (result != PlaceResult.ACCEPTED) {
                EventLog.info(
                    "order not confirmed",
                    "endpoint" to endpoint.id,
                    "result" to result,
                    "accepted_orders" to acceptedOrders,
                )
            }
            when (result) {
                PlaceResult.ACCEPTED -> orderCounts[endpoint.id] = OrderCount(endpoint.startedAt, acceptedOrders + 1)
                PlaceResult.REJECTED -> onRejected(order)
                PlaceResult.UNKNOWN -> orderCounts.remove(endpoint.id)
            }
        }
    }

    /** Expires the plan after [REJECTED_RETRY_DELAY] and reads again how many orders the endpoint has accepted. */
    private fun onRejected(order: LayerOrder) {
        val endpoint = order.endpoint
        planned[endpoint.id] = PlannedLoad(order.layers, endpoint.startedAt, monotonicNow() + REJECTED_RETRY_DELAY)
        readAcceptedOrders(endpoint) {}
    }

    private fun readAcceptedOrders(
        endpoint: RelayEndpoint,
        next: (Long) -> Unit,
    ) {
        context.engines.acceptedOrders(endpoint) { count ->
            if (count != null) {
                orderCounts[endpoint.id] = OrderCount(endpoint.startedAt, count)
                next(count)
            } else {
                planned[endpoint.id]?.let { plan ->
                    val retryAt = monotonicNow() + REJECTED_RETRY_DELAY
                    planned[endpoint.id] = PlannedLoad(plan.layers, endpoint.startedAt, retryAt)
                }
            }
        }
    }

    private fun loadTimeout(
        model: ModelLayout,
        layers: LayerRange,
    ): Duration = model.loadTime * (layers.size.toDouble() / model.layers) * LOAD_TIME_FACTOR + REPORT_DELAY

    private companion object {
        val KEY = ObjectKey(ObjectKind.LEASE, "placement")
        val TICK_INTERVAL = 100.milliseconds

        /** An order is answered within a round trip; one that arrives later fails its precondition. */
        val MAX_ORDER_TIME = 500.milliseconds

        /** Concurrent loads share the weight store and take longer than the model's load time. */
        const val LOAD_TIME_FACTOR = 3.0

        /** Covers two registration intervals of an endpoint and the replication lag of the store. */
        val REPORT_DELAY = 4.seconds

        /** Long enough for the endpoint's next registration to arrive before the order is planned again. */
        val REJECTED_RETRY_DELAY = 1_500.milliseconds

        /** With these settings a successor takes over within about four seconds of the holder's last renewal. */
        fun leaseSettings(self: InstanceId) =
            LeaseSettings(
                self = self,
                key = KEY,
                duration = 3.seconds,
                renewInterval = 800.milliseconds,
                margin = 250.milliseconds,
                pollInterval = 500.milliseconds,
                maxOrderTime = MAX_ORDER_TIME,
                rankDelay = 100.milliseconds,
                pauseLimit = 1.seconds,
            )
    }
}
