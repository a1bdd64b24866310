package oriolespindle.core.order

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import java.util.TreeMap

/**
 * Carries out the operators' orders while this instance holds the lease.
 *
 * Each endpoint has at most one order in flight. After the lease changes hands, the state of every endpoint is read
 * before an order is sent to it. Engines that ignore the fencing token receive no order until the longest order of the
 * former holder has expired. If an answer is lost, a read of the state after the order has expired decides the result.
 * States are read at regular intervals, so that a late order of a paused former holder is detected and corrected.
 */
public class OrderMachine(
    private val settings: OrderSettings = OrderSettings(),
) {
    private val trackers = TreeMap<EndpointId, EndpointTracker>()
    private val coverage = LayerCoverage(trackers.values)
    private val pacer = LoadPacer(settings.weightStoreBytesPerSecond)
    private var lease: OrderLease? = null
    private var heldSince: Timestamp? = null
    private var newestFence = Long.MIN_VALUE
    private var desired: List<OperatorOrder> = emptyList()

    /** Applies [event] and returns the actions to perform. */
    public fun handle(
        now: Timestamp,
        event: OrderEvent,
    ): List<OrderAction> {
        val actions = ArrayList<OrderAction>()
        when (event) {
            OrderEvent.Tick -> Unit
            is OrderEvent.LeaseChanged -> onLeaseChanged(now, event.lease)
            is OrderEvent.Endpoints -> onEndpoints(event.endpoints)
            is OrderEvent.Availability -> trackers[event.endpoint]?.serving = event.serving
            is OrderEvent.Desired -> onDesired(event.orders, actions)
            is OrderEvent.StateRead -> onStateRead(now, event, actions)
            is OrderEvent.Answered -> onAnswered(now, event)
        }
        trackers.values.forEach { advance(now, it, actions) }
        return actions
    }

    /** Returns when [OrderEvent.Tick] is due, or null if the lease is not held or there are no endpoints. */
    public fun nextTimer(now: Timestamp): Timestamp? {
        if (lease == null || trackers.isEmpty()) return null
        return now + settings.recheckInterval / TICKS_PER_RECHECK
    }

    /** Returns whether an order may still take effect; the lease must not be released while this is true. */
    public fun hasOrdersInFlight(now: Timestamp): Boolean =
        trackers.values.any { tracker ->
            tracker.inFlight?.let { now < it.expiresAt }
                ?: false
        }

    private fun onLeaseChanged(
        now: Timestamp,
        offered: OrderLease?,
    ) {
        val new = offered?.takeIf { it.fence >= newestFence }
        val renewed = new != null && new.fence == lease?.fence
        lease = new
        if (renewed) return
        heldSince = if (new == null) null else now
        trackers.values.forEach {
            it.readSentAt = null
            it.clearState()
            it.resetBackoff()
        }
    }

    private fun onEndpoints(endpoints: List<OrderedEndpoint>) {
        trackers.keys.retainAll(endpoints.map { it.id }.toSet())
        endpoints.forEach { endpoint ->
            val tracker = trackers.getOrPut(endpoint.id) { EndpointTracker(endpoint.id, endpoint.checksFence) }
            tracker.checksFence = endpoint.checksFence
        }
        assignOrders()
    }

    private fun onDesired(
        orders: List<OperatorOrder>,
        actions: MutableList<OrderAction>,
    ) {
        val sorted = orders.sortedBy { it.version }
        desired = sorted.associateBy { it.endpoint to it.command.part }.values.toList()
        assignOrders()
        (sorted - desired.toSet()).forEach { order ->
            trackers[order.endpoint]?.reportIfChanged(order, OrderProgress.SUPERSEDED)?.let(actions::add)
        }
    }

    private fun assignOrders() {
        val byEndpoint = desired.sortedBy { it.version }.groupBy { it.endpoint }
        trackers.values.forEach { it.desired = byEndpoint[it.id].orEmpty() }
    }

    private fun onStateRead(
        now: Timestamp,
        event: OrderEvent.StateRead,
        actions: MutableList<OrderAction>,
    ) {
        val tracker = trackers[event.endpoint] ?: return
        if (tracker.readSentAt == null) return
        val state = event.state
        if (state == null) {
            tracker.readSentAt = null
            tracker.pauseUntil(now + settings.recheckInterval)
            return
        }
        val first = tracker.state == null
        tracker.updateState(state)
        if (first && state.loading) reserveRunningLoad(now, tracker)
        updateInFlight(now, tracker, state)
        tracker.desired.filter { state.satisfies(it.command) }.forEach {
            tracker.reportIfChanged(it, OrderProgress.DONE)?.let(actions::add)
        }
    }

    /** Accounts for a load that the former holder started, because it still uses the weight store. */
    private fun reserveRunningLoad(
        now: Timestamp,
        tracker: EndpointTracker,
    ) {
        val load = tracker.desired.firstNotNullOfOrNull { it.command as? OrderCommand.Load }
        if (tracker.inFlight == null && load != null) pacer.reserve(now, load.bytes)
    }

    /** An order ends when its effect is seen, or when it has expired and the endpoint is not loading. */
    private fun updateInFlight(
        now: Timestamp,
        tracker: EndpointTracker,
        state: EndpointState,
    ) {
        val flight = tracker.inFlight
        if (flight != null && state.satisfies(flight.order.command)) {
            tracker.inFlight = null
            tracker.resetBackoff()
            return
        }
        val expired = flight != null && checkNotNull(tracker.stateAsOf) >= flight.expiresAt
        if (expired && !state.loading) {
            tracker.inFlight = null
            tracker.backOff(now, settings)
        } else if (flight != null || state.loading) {
            tracker.pauseUntil(now + settings.recheckInterval)
        }
    }

    private fun onAnswered(
        now: Timestamp,
        event: OrderEvent.Answered,
    ) {
        val tracker = trackers[event.endpoint] ?: return
        when (val answer = event.answer) {
            OrderAnswer.Accepted, OrderAnswer.Unconfirmed -> {
                tracker.pauseUntil(now + settings.recheckInterval)
            }

            OrderAnswer.NotSent -> {
                tracker.inFlight = null
                tracker.backOff(now, settings)
            }

            is OrderAnswer.StaleFence -> {
                tracker.inFlight = null
                newestFence = maxOf(newestFence, answer.fence)
                if (lease?.let { it.fence < newestFence } ?: false) onLeaseChanged(now, null)
            }
        }
    }

    private fun advance(
        now: Timestamp,
        tracker: EndpointTracker,
        actions: MutableList<OrderAction>,
    ) {
        val since = heldSince ?: return
        if (tracker.isReadOverdue(now, settings.readTimeout)) {
            tracker.readSentAt = null
            tracker.pauseUntil(now + settings.recheckInterval)
        }
        if (tracker.readSentAt != null || tracker.isPaused(now)) return
        if (needsRead(now, tracker, since)) {
            requestState(now, tracker, actions)
            return
        }
        val state = checkNotNull(tracker.state)
        val next = tracker.desired.firstOrNull { !state.satisfies(it.command) } ?: return
        sendIfAllowed(now, tracker, next, actions)
    }

    private fun needsRead(
        now: Timestamp,
        tracker: EndpointTracker,
        since: Timestamp,
    ): Boolean {
        val state = tracker.state
        if (state == null || !tracker.hasStateSince(since)) return true
        return tracker.inFlight != null || state.loading || !tracker.hasStateSince(now - settings.verifyInterval)
    }

    private fun requestState(
        now: Timestamp,
        tracker: EndpointTracker,
        actions: MutableList<OrderAction>,
    ) {
        if (trackers.values.count { it.readSentAt != null } >= settings.maxConcurrentReads) return
        tracker.readSentAt = now
        actions += OrderAction.ReadState(tracker.id)
    }

    private fun sendIfAllowed(
        now: Timestamp,
        tracker: EndpointTracker,
        order: OperatorOrder,
        actions: MutableList<OrderAction>,
    ) {
        val held = lease ?: return
        val since = heldSince ?: return
        val notAfter = minOf(held.validUntil - settings.orderTtl, now + settings.sendTimeout)
        if (now > notAfter || (!tracker.checksFence && now < held.quietFrom)) return
        if (!coverage.canApply(tracker, order.command, maxOf(since, now - settings.verifyInterval * 2))) {
            tracker.reportIfChanged(order, OrderProgress.WAITING_FOR_COVERAGE)?.let(actions::add)
            return
        }
        val load = order.command as? OrderCommand.Load
        if (load != null) {
            if (pacer.nextStart(now) > now) {
                tracker.reportIfChanged(order, OrderProgress.WAITING_FOR_STORE)?.let(actions::add)
                return
            }
            pacer.reserve(now, load.bytes)
        }
        tracker.inFlight = EndpointTracker.InFlight(order, now + settings.sendTimeout + settings.orderTtl)
        tracker.pauseUntil(now + settings.recheckInterval)
        tracker.reportIfChanged(order, OrderProgress.SENT)?.let(actions::add)
        actions += OrderAction.Send(order, held.fence, settings.orderTtl, notAfter)
    }

    private companion object {
        const val TICKS_PER_RECHECK = 4
    }
}
