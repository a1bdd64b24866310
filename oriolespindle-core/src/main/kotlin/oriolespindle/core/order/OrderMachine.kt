package oriolespindle.core.order

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import java.util.TreeMap

/**
 * Carries out the operators' orders while this instance holds the lease.
 *
 * Each endpoint has at most one order at a time. After a change of the holder every state is read before an order is
 * sent; engines that ignore the fencing token get none until the longest order of the former holder has expired. A lost
 * answer is settled by reading back after the order's own expiry, and states are read back regularly, so that a late
 * order of a paused former holder is found and corrected.
 */
public class OrderMachine(
    private val settings: OrderSettings = OrderSettings(),
) {
    private val slots = TreeMap<EndpointId, EndpointSlot>()
    private val coverage = LayerCoverage(slots.values)
    private val pacer = LoadPacer(settings.storeBytesPerSecond)
    private var lease: OrderLease? = null
    private var heldSince: Timestamp? = null
    private var newestFence = Long.MIN_VALUE
    private var desired: List<OperatorOrder> = emptyList()

    /** Applies [event] and returns what to do. */
    public fun handle(
        now: Timestamp,
        event: OrderEvent,
    ): List<OrderAction> {
        val actions = ArrayList<OrderAction>()
        when (event) {
            OrderEvent.Tick -> Unit
            is OrderEvent.LeaseChanged -> leaseChanged(now, event.lease)
            is OrderEvent.Endpoints -> endpoints(event.endpoints)
            is OrderEvent.Availability -> slots[event.endpoint]?.serving = event.serving
            is OrderEvent.Desired -> desired(event.orders, actions)
            is OrderEvent.StateRead -> stateRead(now, event, actions)
            is OrderEvent.Answered -> answered(now, event)
        }
        slots.values.forEach { advance(now, it, actions) }
        return actions
    }

    /** Returns when [OrderEvent.Tick] is due, or null while this instance does not hold the lease. */
    public fun nextTimer(now: Timestamp): Timestamp? {
        if (lease == null || slots.isEmpty()) return null
        return now + settings.recheckEvery / TICKS_PER_RECHECK
    }

    /** Whether an order may still take effect, so that the lease must not be released yet. */
    public fun busy(now: Timestamp): Boolean =
        slots.values.any { slot ->
            slot.inFlight?.let { now < it.expiresAt }
                ?: false
        }

    private fun leaseChanged(
        now: Timestamp,
        offered: OrderLease?,
    ) {
        val new = offered?.takeIf { it.fence >= newestFence }
        val renewed = new != null && new.fence == lease?.fence
        lease = new
        if (renewed) return
        heldSince = if (new == null) null else now
        slots.values.forEach {
            it.readSentAt = null
            it.forgetState()
            it.succeeded()
        }
    }

    private fun endpoints(endpoints: List<OrderedEndpoint>) {
        slots.keys.retainAll(endpoints.map { it.id }.toSet())
        endpoints.forEach { endpoint ->
            val slot = slots.getOrPut(endpoint.id) { EndpointSlot(endpoint.id, endpoint.checksFence) }
            slot.checksFence = endpoint.checksFence
        }
        assign()
    }

    private fun desired(
        orders: List<OperatorOrder>,
        actions: MutableList<OrderAction>,
    ) {
        val sorted = orders.sortedBy { it.version }
        desired = sorted.associateBy { it.endpoint to it.command.part }.values.toList()
        assign()
        (sorted - desired.toSet()).forEach { order ->
            slots[order.endpoint]?.report(order, OrderProgress.SUPERSEDED)?.let(actions::add)
        }
    }

    private fun assign() {
        val byEndpoint = desired.sortedBy { it.version }.groupBy { it.endpoint }
        slots.values.forEach { it.desired = byEndpoint[it.id].orEmpty() }
    }

    private fun stateRead(
        now: Timestamp,
        event: OrderEvent.StateRead,
        actions: MutableList<OrderAction>,
    ) {
        val slot = slots[event.endpoint] ?: return
        if (slot.readSentAt == null) return
        val state = event.state
        if (state == null) {
            slot.readSentAt = null
            slot.pauseUntil(now + settings.recheckEvery)
            return
        }
        val first = slot.state == null
        slot.read(state)
        if (first && state.loading) reserveRunningLoad(now, slot)
        settle(now, slot, state)
        slot.desired.filter { state.satisfies(it.command) }.forEach {
            slot.report(it, OrderProgress.DONE)?.let(actions::add)
        }
    }

    /** A load that the former holder started still uses the weight store. */
    private fun reserveRunningLoad(
        now: Timestamp,
        slot: EndpointSlot,
    ) {
        val load = slot.desired.firstNotNullOfOrNull { it.command as? OrderCommand.Load }
        if (slot.inFlight == null && load != null) pacer.reserve(now, load.bytes)
    }

    /** An order is over when its effect is seen, or when it has expired and the endpoint is not working on it. */
    private fun settle(
        now: Timestamp,
        slot: EndpointSlot,
        state: EndpointState,
    ) {
        val flight = slot.inFlight
        if (flight != null && state.satisfies(flight.order.command)) {
            slot.inFlight = null
            slot.succeeded()
            return
        }
        val expired = flight != null && checkNotNull(slot.stateAsOf) >= flight.expiresAt
        if (expired && !state.loading) {
            slot.inFlight = null
            slot.delay(now, settings)
        } else if (flight != null || state.loading) {
            slot.pauseUntil(now + settings.recheckEvery)
        }
    }

    private fun answered(
        now: Timestamp,
        event: OrderEvent.Answered,
    ) {
        val slot = slots[event.endpoint] ?: return
        when (val answer = event.answer) {
            OrderAnswer.Accepted, OrderAnswer.Lost -> {
                slot.pauseUntil(now + settings.recheckEvery)
            }

            OrderAnswer.NotSent -> {
                slot.inFlight = null
                slot.delay(now, settings)
            }

            is OrderAnswer.StaleFence -> {
                slot.inFlight = null
                newestFence = maxOf(newestFence, answer.fence)
                if (lease?.let { it.fence < newestFence } ?: false) leaseChanged(now, null)
            }
        }
    }

    private fun advance(
        now: Timestamp,
        slot: EndpointSlot,
        actions: MutableList<OrderAction>,
    ) {
        val since = heldSince ?: return
        if (slot.readOverdue(now, settings.readTimeout)) {
            slot.readSentAt = null
            slot.pauseUntil(now + settings.recheckEvery)
        }
        if (slot.readSentAt != null || slot.waits(now)) return
        if (needsRead(now, slot, since)) {
            read(now, slot, actions)
            return
        }
        val state = checkNotNull(slot.state)
        val next = slot.desired.firstOrNull { !state.satisfies(it.command) } ?: return
        send(now, slot, next, actions)
    }

    private fun needsRead(
        now: Timestamp,
        slot: EndpointSlot,
        since: Timestamp,
    ): Boolean {
        val state = slot.state
        if (state == null || !slot.readSince(since)) return true
        return slot.inFlight != null || state.loading || !slot.readSince(now - settings.verifyEvery)
    }

    private fun read(
        now: Timestamp,
        slot: EndpointSlot,
        actions: MutableList<OrderAction>,
    ) {
        if (slots.values.count { it.readSentAt != null } >= settings.mostReads) return
        slot.readSentAt = now
        actions += OrderAction.ReadState(slot.id)
    }

    private fun send(
        now: Timestamp,
        slot: EndpointSlot,
        order: OperatorOrder,
        actions: MutableList<OrderAction>,
    ) {
        val held = lease ?: return
        val since = heldSince ?: return
        val notAfter = minOf(held.validUntil - settings.longestOrder, now + settings.sendWithin)
        if (now > notAfter || (!slot.checksFence && now < held.quietFrom)) return
        if (!coverage.allows(slot, order.command, maxOf(since, now - settings.verifyEvery * 2))) {
            slot.report(order, OrderProgress.WAITING_FOR_COVERAGE)?.let(actions::add)
            return
        }
        val load = order.command as? OrderCommand.Load
        if (load != null) {
            if (pacer.nextStart(now) > now) {
                slot.report(order, OrderProgress.WAITING_FOR_STORE)?.let(actions::add)
                return
            }
            pacer.reserve(now, load.bytes)
        }
        slot.inFlight = EndpointSlot.InFlight(order, now + settings.sendWithin + settings.longestOrder)
        slot.pauseUntil(now + settings.recheckEvery)
        slot.report(order, OrderProgress.SENT)?.let(actions::add)
        actions += OrderAction.Send(order, held.fence, settings.longestOrder, notAfter)
    }

    private companion object {
        const val TICKS_PER_RECHECK = 4
    }
}
