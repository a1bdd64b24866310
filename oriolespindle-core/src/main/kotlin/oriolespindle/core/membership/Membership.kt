package oriolespindle.core.membership

import oriolespindle.core.config.Revision
import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import java.util.random.RandomGenerator

/**
 * Tracks which instances exist and answer, from its own heartbeats, gossip of its peers and the platform's list.
 *
 * As in SWIM, an instance that misses heartbeats is first suspected, and declared dead only if it does not
 * refute the suspicion with a higher incarnation. The platform's list adds instances and is the only source of
 * [MemberState.GONE]. Each message carries a bounded number of records, except the full answer to a starting instance,
 * and the number of messages does not depend on the fleet size.
 */
public class Membership(
    self: MemberRecord,
    private val settings: MembershipSettings = MembershipSettings(),
    private val random: RandomGenerator,
) {
    private class Probe(
        val to: InstanceId,
        val deadline: Timestamp,
    )

    private val table = MemberTable()
    private val rumors = RumorQueue(settings)
    private val schedule = ProbeSchedule(self, settings, random)
    private val probes = LinkedHashMap<Long, Probe>()
    private val missedOnce = HashSet<InstanceId>()
    private var nextProbe: Timestamp? = null
    private var nextDeadProbe = Timestamp.ZERO
    private var sequence = 0L
    private var platformVersion = Long.MIN_VALUE
    private var revision = Revision.NONE
    private var contentHash = 0L
    private var hasJoined = false

    /** The record of this instance. */
    public var self: MemberRecord = self
        private set

    /** Applies [event] and returns the actions to perform. */
    public fun handle(
        now: Timestamp,
        event: MembershipEvent,
    ): List<MembershipAction> {
        val actions = ArrayList<MembershipAction>()
        detectPause(now, actions)
        when (event) {
            MembershipEvent.Tick -> onTick(now, actions)
            is MembershipEvent.PingReceived -> onPing(now, event.gossip, actions)
            is MembershipEvent.AckReceived -> onAck(now, event.gossip, actions)
            is MembershipEvent.PlatformList -> onPlatformList(now, event, actions)
            is MembershipEvent.Contact -> merge(now, event.record, actions)
            is MembershipEvent.Configured -> onConfigured(event)
            MembershipEvent.Leave -> raiseIncarnation(self.incarnation, MemberState.LEAVING)
        }
        return actions
    }

    /** Returns this instance and every instance that is not known to be terminated, sorted by name. */
    @Suppress("UNUSED_PARAMETER")
    public fun members(now: Timestamp): List<Member> {
        val others = table.members().filter { it.record.state != MemberState.GONE }
        return (others + Member(self, now)).sortedBy { it.id }
    }

    /** Returns up to [ownZone] and [otherZones] random reachable instances that a change is sent to. */
    public fun targets(
        ownZone: Int,
        otherZones: Int,
    ): List<MemberRecord> = schedule.targets(table, ownZone, otherZones)

    /** Returns when [MembershipEvent.Tick] is due; before the first event it is due immediately. */
    public fun nextTimer(): Timestamp {
        val probe = nextProbe ?: return Timestamp(Long.MIN_VALUE)
        val ack = probes.values.firstOrNull()?.deadline ?: probe
        val suspicion = table.earliestSuspicion()?.plus(settings.suspicionTimeout) ?: probe
        return minOf(probe, ack, suspicion)
    }

    /** Sets the first timers, or discards the open probes and extends suspicions if this process was paused. */
    private fun detectPause(
        now: Timestamp,
        actions: MutableList<MembershipAction>,
    ) {
        if (nextProbe == null) {
            nextProbe = now + settings.probeInterval * random.nextDouble()
            nextDeadProbe = now + settings.deadProbeInterval
            return
        }
        val lateness = now - nextTimer()
        if (lateness <= settings.pauseThreshold) return
        probes.clear()
        table.extendSuspicions(lateness)
        nextProbe = now
        raiseIncarnation(self.incarnation, self.state)
        actions += MembershipAction.Paused(lateness)
    }

    private fun onTick(
        now: Timestamp,
        actions: MutableList<MembershipAction>,
    ) {
        expireProbes(now, actions)
        expireSuspicions(now, actions)
        if (now < checkNotNull(nextProbe)) return
        nextProbe = now + settings.probeInterval
        val round = schedule.nextRound(table)
        round.forEach { probe(now, it, actions) }
        schedule.randomSuspect(table, round)?.let { probe(now, it, actions) }
        if (now >= nextDeadProbe) {
            nextDeadProbe = now + settings.deadProbeInterval
            schedule.randomDead(table)?.let { probe(now, it, actions) }
            forgetExpired(now)
        }
    }

    private fun probe(
        now: Timestamp,
        to: MemberRecord,
        actions: MutableList<MembershipAction>,
    ) {
        sequence++
        if (to.state < MemberState.SUSPECT) probes[sequence] = Probe(to.id, now + settings.ackTimeout)
        actions += MembershipAction.SendPing(to, buildGossip(to.id, sequence).copy(wantAll = !hasJoined))
    }

    private fun expireProbes(
        now: Timestamp,
        actions: MutableList<MembershipAction>,
    ) {
        val missed = probes.filterValues { it.deadline <= now }
        missed.keys.forEach { probes.remove(it) }
        missed.values
            .mapNotNull { table.get(it.to) }
            .filter { it.state < MemberState.SUSPECT }
            .forEach { onAckMissed(now, it, actions) }
    }

    /** Tolerates one lost message: the instance is probed again immediately and suspected at the second miss. */
    private fun onAckMissed(
        now: Timestamp,
        record: MemberRecord,
        actions: MutableList<MembershipAction>,
    ) {
        if (missedOnce.add(record.id)) {
            probe(now, record, actions)
            return
        }
        missedOnce.remove(record.id)
        merge(now, record.copy(state = MemberState.SUSPECT), actions)
    }

    private fun expireSuspicions(
        now: Timestamp,
        actions: MutableList<MembershipAction>,
    ) {
        table
            .recordsInStateSince(MemberState.SUSPECT, now - settings.suspicionTimeout)
            .forEach { merge(now, it.copy(state = MemberState.DEAD), actions) }
    }

    private fun onPing(
        now: Timestamp,
        gossip: Gossip,
        actions: MutableList<MembershipAction>,
    ) {
        applyGossip(now, gossip, actions)
        val answer = buildGossip(gossip.sender.id, gossip.sequence)
        val records = if (gossip.wantAll) table.all() else answer.records
        actions += MembershipAction.SendAck(gossip.sender, answer.copy(records = records))
    }

    private fun onAck(
        now: Timestamp,
        gossip: Gossip,
        actions: MutableList<MembershipAction>,
    ) {
        if (probes[gossip.sequence]?.to == gossip.sender.id) probes.remove(gossip.sequence)
        missedOnce.remove(gossip.sender.id)
        hasJoined = true
        applyGossip(now, gossip, actions)
    }

    private fun applyGossip(
        now: Timestamp,
        gossip: Gossip,
        actions: MutableList<MembershipAction>,
    ) {
        merge(now, gossip.sender, actions)
        table.onHeard(now, gossip.sender.id)
        val isFullAnswer = gossip.records.size > settings.maxRecordsPerMessage
        gossip.records.forEach { merge(now, it, actions, disseminate = !isFullAnswer) }
        actions += MembershipAction.Reported(gossip.sender.id, gossip.revision, gossip.contentHash)
    }

    private fun onPlatformList(
        now: Timestamp,
        event: MembershipEvent.PlatformList,
        actions: MutableList<MembershipAction>,
    ) {
        if (event.version <= platformVersion) return
        platformVersion = event.version
        event.entries
            .filter { it.state == MemberState.GONE || table.get(it.id) == null }
            .forEach { merge(now, it.copy(incarnation = 0), actions, disseminate = false) }
    }

    /**
     * Stores [record] if it is newer, and adds it to the gossip if [disseminate] is set.
     *
     * Records from the platform's list or from a full answer are not disseminated: every instance receives them itself,
     * and the records of a fleet of 330 would delay those of a failure by minutes.
     */
    private fun merge(
        now: Timestamp,
        record: MemberRecord,
        actions: MutableList<MembershipAction>,
        disseminate: Boolean = true,
    ) {
        if (record.id == self.id) {
            refute(record, actions)
            return
        }
        val before = table.get(record.id)
        if (!table.merge(now, record)) return
        if (disseminate) rumors.add(record)
        if (before?.state != record.state) actions += MembershipAction.Changed(before, record)
    }

    private fun refute(
        record: MemberRecord,
        actions: MutableList<MembershipAction>,
    ) {
        if (record.state == MemberState.GONE) {
            actions += MembershipAction.DeclaredGone
            return
        }
        if (record.state >= MemberState.SUSPECT && record.incarnation >= self.incarnation) {
            raiseIncarnation(record.incarnation, self.state)
        }
    }

    private fun raiseIncarnation(
        above: Long,
        state: MemberState,
    ) {
        self = self.copy(incarnation = above + 1, state = state)
        rumors.add(self)
    }

    private fun onConfigured(event: MembershipEvent.Configured) {
        revision = event.revision
        contentHash = event.contentHash
    }

    /** Includes the record of a peer that is suspected, dead or gone, because only the peer can refute it. */
    private fun buildGossip(
        to: InstanceId,
        sequence: Long,
    ): Gossip {
        val about = table.get(to)?.takeIf { it.state >= MemberState.SUSPECT }
        return Gossip(self, sequence, revision, contentHash, rumors.take(to, table.size + 1, about))
    }

    private fun forgetExpired(now: Timestamp) {
        val limit = now - settings.deadRecordTtl
        val old =
            table.recordsInStateSince(MemberState.DEAD, limit) + table.recordsInStateSince(MemberState.GONE, limit)
        old.forEach {
            table.forget(it.id)
            rumors.remove(it.id)
        }
    }
}
