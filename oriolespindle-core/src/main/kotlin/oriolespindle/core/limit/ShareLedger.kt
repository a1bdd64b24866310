package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.time.Timestamp

/**
 * Tracks the units of each limit that an instance holds and transfers units between instances.
 *
 * The sum of the units that all instances may use never exceeds [LimitKey.TOTAL_UNITS], even if messages are lost,
 * duplicated or delayed and instances are partitioned, paused or dead. For a transfer, units are first withdrawn from
 * the limiter, then given by raising a counter, then sent. A member is removed only after the platform has reported it
 * as gone.
 */
public class ShareLedger(
    private val self: InstanceId,
    private val settings: ShareSettings,
) {
    private val keys = mutableMapOf<LimitKey, KeyState>()
    private val concurrency = mutableMapOf<TeamId, Int>()
    private val fence = Fence(settings)
    private val policy = SharePolicy(self, settings.fanOut)
    private val rotation = PeerRotation(self, settings.zone)
    private val outbox = Outbox(settings.initialResendBackoff)
    private val settlement = Settlement(settings.settleDelay)
    private val proposer = AllotmentProposer(self, settings)
    private val dirty = linkedSetOf<KeyState>()
    private val unapplied = linkedSetOf<KeyState>()
    private var view: AllotmentView? = null
    private var isRemoved = false
    private var hasContracts = false
    private var wasSupplied = false
    private var sequence = 0L
    private var appliedSequence = 0L
    private var acknowledgedGeneration = 0L
    private var lastReportAt: Timestamp? = null
    private var lastProbeAt: Timestamp? = null

    /**
     * Returns how much of [key] the limiter of this instance may use as of the last event: whole slots for
     * [LimitKind.CONCURRENCY], units for the other kinds.
     *
     * The result is 0 after a pause until the allotment is confirmed.
     */
    public fun usable(key: LimitKey): Int {
        val units = usableUnits(key)
        if (key.kind != LimitKind.CONCURRENCY) return units
        return SlotLimit.slotsOf(units, concurrency[key.team] ?: 0)
    }

    /**
     * Whether this instance can admit requests or could when last asked: it holds units, or a peer that can give some
     * has answered.
     *
     * Before that, every request of every team would be refused. Once true, it stays true through later outages.
     */
    public val isSupplied: Boolean
        get() {
            if (!wasSupplied) wasSupplied = canObtainUnits()
            return wasSupplied
        }

    /** Returns the units of [key] that this instance holds, whether or not it may use them now. */
    public fun holding(key: LimitKey): Long {
        if (isRemoved) return 0
        val pairs = keys[key]?.pairs
        val moved =
            when {
                pairs == null -> 0
                isMember() -> pairs.balance
                else -> pairs.givers().filter(fence::hasLeaseFrom).sumOf(pairs::received)
            }
        val initial = view?.ownInitialUnits ?: 0
        return initial + settlement.units(key) + moved
    }

    /** Handles [event] and returns the actions to perform, in order. */
    public fun handle(
        now: Timestamp,
        event: ShareEvent,
    ): List<ShareAction> {
        val actions = mutableListOf<ShareAction>()
        val couldUseUnits = fence.mayUseUnits()
        fence.advance(now)
        when (event) {
            is ShareEvent.Tick -> onTick(now, actions)
            is ShareEvent.Contracts -> onContracts(event)
            is ShareEvent.Peers -> rotation.update(event.peers)
            is ShareEvent.AllotmentRead -> onAllotmentRead(event, actions)
            is ShareEvent.AllotmentMissing -> proposer.proposeInitial(now)?.let(actions::add)
            is ShareEvent.PlatformList -> proposer.onPlatformList(now, event)
            is ShareEvent.Usage -> onUsage(now, event.report, actions)
            is ShareEvent.Received -> onMessage(now, event.from, event.message, actions)
        }
        val mayAffectAll =
            event is ShareEvent.Tick || event is ShareEvent.AllotmentRead || fence.mayUseUnits() != couldUseUnits
        if (mayAffectAll) dirty += keys.values
        publish(now, actions, always = mayAffectAll)
        return actions
    }

    private fun canObtainUnits(): Boolean {
        val current = view
        if (!hasContracts || current == null || isRemoved) return false
        return keys.isEmpty() || current.ownInitialUnits > 0 || fence.hasLease() || keys.keys.any { holding(it) > 0 }
    }

    private fun isMember(): Boolean = view?.joinGeneration != null

    private fun mayUse(): Boolean = !isRemoved && fence.mayUseUnits()

    private fun mayGive(): Boolean = !isRemoved && isMember() && !fence.isAwaitingConfirmation

    private fun usableUnits(key: LimitKey): Int {
        if (!mayUse()) return 0
        val withdrawn = keys[key]?.escrow?.units ?: 0
        return (holding(key) - withdrawn).coerceIn(0, LimitKey.TOTAL_UNITS.toLong()).toInt()
    }

    private fun onContracts(event: ShareEvent.Contracts) {
        hasContracts = true
        concurrency.clear()
        for ((team, slots) in event.teams) {
            concurrency[team] = slots
            LimitKind.entries.forEach { dirty += state(LimitKey(team, it)) }
        }
    }

    private fun state(key: LimitKey): KeyState = keys.getOrPut(key) { KeyState(key) }

    private fun onAllotmentRead(
        event: ShareEvent.AllotmentRead,
        actions: MutableList<ShareAction>,
    ) {
        val known = view?.allotment
        val next = event.allotment
        if (known != null && next.generation < known.generation) return
        if (known != next) view = AllotmentView(next, self)
        if (next.isRemoved(self)) {
            restart(actions)
            return
        }
        event.requestedAt?.let(fence::onAllotmentRead)
        if (known?.removalGeneration != next.removalGeneration) settlePairs(next)
    }

    private fun restart(actions: MutableList<ShareAction>) {
        if (!isRemoved) actions += ShareAction.Restart
        isRemoved = true
    }

    private fun settlePairs(next: Allotment) {
        val joinedIn = next.joinGeneration(self)
        for ((gone, generation) in next.removed) {
            outbox.remove(gone)
            // No settlement waited for a report of this instance before it joined, so units from that time are dropped.
            val removedBeforeJoining = joinedIn == null || generation <= joinedIn
            for (state in keys.values) {
                if (state.escrow?.peer == gone) state.escrow = null
                if (removedBeforeJoining) state.pairs.discard(gone) else state.pairs.settle(gone)
            }
        }
        lastReportAt = null
    }

    private fun onUsage(
        now: Timestamp,
        report: UsageReport,
        actions: MutableList<ShareAction>,
    ) {
        appliedSequence = maxOf(appliedSequence, report.sequence)
        val reported = report.usages.associateBy { it.key }
        for (state in keys.values) {
            state.updateUsage(reported[state.key])
            val escrow = state.escrow ?: continue
            dirty += state
            if (escrow.sequence > report.sequence) continue
            state.escrow = null
            if (!mayGive()) continue
            val free = holding(state.key) - state.usage.inUse
            val units = minOf(escrow.units.toLong(), free).toInt()
            if (units <= 0) continue
            state.pairs.give(escrow.peer, units)
            outbox.add(now, escrow.peer, state.key)
        }
        sendCounters(now, actions)
    }

    private fun sendCounters(
        now: Timestamp,
        actions: MutableList<ShareAction>,
    ) {
        for ((peer, due) in outbox.takeDue(now)) {
            val given = due.map { KeyCount(it, state(it).pairs.given(peer)) }
            actions += ShareAction.Send(peer, ShareMessage.Counters(given))
        }
    }

    private fun onMessage(
        now: Timestamp,
        from: InstanceId,
        message: ShareMessage,
        actions: MutableList<ShareAction>,
    ) {
        if (message is ShareMessage.Probe) {
            answerProbe(from, message, actions)
            return
        }
        if (isRemoved || view?.isRemoved(from) == true) return
        when (message) {
            is ShareMessage.Counters -> {
                onCounters(from, message, actions)
            }

            is ShareMessage.CountersAck -> {
                onCountersAck(from, message)
            }

            is ShareMessage.Want -> {
                message.wants.forEach { withdraw(from, it) }
            }

            is ShareMessage.ProbeAnswer -> {
                onProbeAnswer(from, message, actions)
            }

            is ShareMessage.Settled -> {
                settlement.onReport(now, from, message.generation, message.net)
                actions += ShareAction.Send(from, ShareMessage.SettledAck(message.generation))
            }

            is ShareMessage.SettledAck -> {
                acknowledgedGeneration = maxOf(acknowledgedGeneration, message.generation)
            }

            is ShareMessage.Probe -> {
                Unit
            }
        }
    }

    private fun onCounters(
        from: InstanceId,
        message: ShareMessage.Counters,
        actions: MutableList<ShareAction>,
    ) {
        for ((key, count) in message.given) {
            val state = state(key)
            if (!state.pairs.receive(from, count)) continue
            state.resetWantBackoff()
            dirty += state
        }
        actions += ShareAction.Send(from, ShareMessage.CountersAck(message.given))
    }

    private fun onCountersAck(
        from: InstanceId,
        message: ShareMessage.CountersAck,
    ) {
        for ((key, count) in message.received) {
            if (count >= state(key).pairs.given(from)) outbox.acknowledge(from, key)
        }
    }

    /**
     * Withdraws units from the limiter for [peer]; they are given once the limiter has reported that they are free.
     */
    private fun withdraw(
        peer: InstanceId,
        want: ShareWant,
    ) {
        val state = keys[want.key] ?: return
        if (!mayGive() || state.escrow != null) return
        val holding = usableUnits(want.key)
        val members = view?.memberCount ?: 1
        val isRate = want.key.kind != LimitKind.CONCURRENCY
        val reserve = if (isRate) (LimitKey.TOTAL_UNITS * settings.idleReserve / members).toInt() else 0
        var units = policy.unitsToGive(state.usage, holding, reserve, want, peer)
        if (!isRate) units = minOf(units, holding - roundUpToSlots(want.key, holding - units))
        if (units <= 0) return
        state.escrow = Escrow(peer, units, sequence + 1)
        dirty += state
    }

    /** Returns the units of the smallest number of whole slots that covers [units]. */
    private fun roundUpToSlots(
        key: LimitKey,
        units: Int,
    ): Int {
        val slots = concurrency[key.team] ?: 0
        val covered = SlotLimit.slotsOf(units, slots)
        return if (SlotLimit.unitsOf(covered, slots) == units) units else SlotLimit.unitsOf(covered + 1, slots)
    }

    private fun onTick(
        now: Timestamp,
        actions: MutableList<ShareAction>,
    ) {
        if (isRemoved) return
        sendCounters(now, actions)
        sendWants(now, actions)
        sendProbes(now, actions)
        val current = view ?: return
        advanceSettlement(now, current, actions)
        val proposal =
            proposer.proposeChange(now, current.allotment) {
                keys.values.flatMapTo(mutableSetOf()) { it.pairs.partners() }
            }
        proposal?.let(actions::add)
    }

    private fun sendWants(
        now: Timestamp,
        actions: MutableList<ShareAction>,
    ) {
        if (!mayUse()) return
        val wants = keys.values.mapNotNull { state -> wantFor(now, state) }
        if (wants.isEmpty()) return
        for (peer in rotation.take(settings.fanOut) { view?.isRemoved(it) != true }) {
            actions += ShareAction.Send(peer, ShareMessage.Want(wants))
        }
    }

    private fun wantFor(
        now: Timestamp,
        state: KeyState,
    ): ShareWant? {
        val want = policy.want(state.usage, usableUnits(state.key)) ?: return null
        return want.takeIf { state.maySendWant(now) }
    }

    private fun sendProbes(
        now: Timestamp,
        actions: MutableList<ShareAction>,
    ) {
        if (isMember() && !fence.isAwaitingConfirmation && isSupplied) return
        val last = lastProbeAt
        if (last != null && now - last < settings.probeInterval) return
        lastProbeAt = now
        if (fence.isAwaitingConfirmation) actions += ShareAction.ReadAllotment
        val givers = keys.values.flatMapTo(linkedSetOf()) { it.pairs.givers() }
        val probed = if (isMember()) rotation.take(settings.fanOut) { true } else givers + rotation.take(1) { true }
        probed.forEach { actions += ShareAction.Send(it, ShareMessage.Probe(now.nanos)) }
    }

    private fun answerProbe(
        from: InstanceId,
        probe: ShareMessage.Probe,
        actions: MutableList<ShareAction>,
    ) {
        val current = view ?: return
        // An instance whose own units are unconfirmed must not confirm those of others, and one without units must not
        // appear able to give some.
        if (!mayGive() || !isSupplied) return
        val answer = ShareMessage.ProbeAnswer(probe.sentAt, current.allotment.generation, current.standing(from))
        actions += ShareAction.Send(from, answer)
    }

    private fun onProbeAnswer(
        from: InstanceId,
        answer: ShareMessage.ProbeAnswer,
        actions: MutableList<ShareAction>,
    ) {
        if (answer.standing == Standing.REMOVED) restart(actions) else fence.renewLease(from, Timestamp(answer.sentAt))
    }

    private fun advanceSettlement(
        now: Timestamp,
        current: AllotmentView,
        actions: MutableList<ShareAction>,
    ) {
        val generation = current.allotment.removalGeneration
        val joinedIn = current.joinGeneration
        if (generation == 0L || joinedIn == null) return
        val successor = current.allotment.successor
        if (successor == self) {
            settlement.tryComplete(now, current.allotment, self) { keys.mapValues { it.value.pairs.removedNet } }
            return
        }
        val last = lastReportAt
        val due = last == null || now - last >= settings.probeInterval
        if (joinedIn >= generation || acknowledgedGeneration >= generation || !due || successor == null) return
        lastReportAt = now
        val net = keys.values.filter { it.pairs.removedNet != 0L }.map { KeyCount(it.key, it.pairs.removedNet) }
        actions += ShareAction.Send(successor, ShareMessage.Settled(generation, net))
    }

    /**
     * Passes changed units to the limiter until it has applied them; with [always], sends an update even without a
     * change.
     */
    private fun publish(
        now: Timestamp,
        actions: MutableList<ShareAction>,
        always: Boolean,
    ) {
        val next = sequence + 1
        for (state in dirty) {
            val units = usableUnits(state.key)
            if (units == state.publishedUnits && state.escrow?.sequence != next) continue
            state.publishedUnits = units
            state.publishedSequence = next
            sequence = next
            unapplied += state
        }
        dirty.clear()
        if (!always && sequence != next) return
        unapplied.removeIf { it.publishedSequence <= appliedSequence }
        val units = unapplied.map { KeyUnits(it.key, it.publishedUnits) }
        actions += ShareAction.Apply(ShareUpdate(sequence, validUntil(now), units))
    }

    private fun validUntil(now: Timestamp): Timestamp =
        when {
            !mayUse() -> now

            mayGive() -> now + settings.pauseLimit

            // The right to use units depends on the lease, which is checked on every tick.
            else -> now + settings.probeInterval
        }
}
