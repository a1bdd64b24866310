package oriolespindle.router.state

import oriolespindle.core.config.CacheExchangeSettings
import oriolespindle.core.config.ExchangeAction
import oriolespindle.core.config.ObjectCache
import oriolespindle.core.config.Revision
import oriolespindle.core.config.Rollout
import oriolespindle.core.config.RolloutStatus
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.membership.Member
import oriolespindle.core.membership.MemberRecord
import oriolespindle.core.membership.MemberState
import oriolespindle.core.membership.Membership
import oriolespindle.core.membership.MembershipAction
import oriolespindle.core.membership.MembershipEvent
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import oriolespindle.router.peer.PeerIdentity
import oriolespindle.router.peer.PeerMessage
import oriolespindle.router.platform.PlatformInstanceList
import java.util.random.RandomGenerator

/** Sends messages to the other instances of the fleet. */
internal interface PeerSender {
    fun connect(
        peer: InstanceId,
        address: String,
    )

    fun send(
        peer: InstanceId,
        message: PeerMessage,
    )

    fun forget(peer: InstanceId)
}

/** Callbacks from [FleetView] to the state component. */
internal class FleetListeners(
    val onMembersChanged: () -> Unit,
    val onRevisionReported: (Timestamp, InstanceId, Revision, contentHash: Long) -> Unit,
    val onPaused: () -> Unit,
)

/** Tracks the members of the fleet and the rollout of revisions, and sends configuration to peers. */
internal class FleetView(
    self: MemberRecord,
    random: RandomGenerator,
    private val cache: ObjectCache,
    private val peers: PeerSender,
    private val listeners: FleetListeners,
) {
    private val membership = Membership(self, random = random)
    private val exchangeSettings = CacheExchangeSettings()
    private val rollout = Rollout()

    fun members(now: Timestamp): List<Member> = membership.members(now)

    fun onTick(now: Timestamp) {
        if (now >= membership.nextTimer()) perform(now, membership.handle(now, MembershipEvent.Tick))
    }

    fun onInstancesListed(
        now: Timestamp,
        list: PlatformInstanceList,
    ) {
        val records =
            list.instances.filter { it.kind == "router" }.map { item ->
                MemberRecord(InstanceId(item.id), ZoneId(item.zone), item.address, state = parseMemberState(item.state))
            }
        perform(now, membership.handle(now, MembershipEvent.PlatformList(list.version, records)))
    }

    fun onPeerConnected(
        now: Timestamp,
        peer: PeerIdentity,
    ) {
        val record = MemberRecord(peer.instance, peer.zone, peer.address)
        perform(now, membership.handle(now, MembershipEvent.Contact(record)))
    }

    fun leave(now: Timestamp) = perform(now, membership.handle(now, MembershipEvent.Leave))

    /** Handles [message] if it is a heartbeat or its acknowledgement, and returns whether it is one. */
    fun handleHeartbeat(
        now: Timestamp,
        message: PeerMessage,
    ): Boolean {
        when (message) {
            is PeerMessage.Ping -> perform(now, membership.handle(now, MembershipEvent.PingReceived(message.content)))
            is PeerMessage.Ack -> perform(now, membership.handle(now, MembershipEvent.AckReceived(message.content)))
            else -> return false
        }
        return true
    }

    /** Records the configuration in force at this instance, which later heartbeats report. */
    fun onConfigurationChanged(now: Timestamp) {
        rollout.onReport(now, membership.self.id, cache.revision)
        perform(now, membership.handle(now, MembershipEvent.Configured(cache.revision, cache.contentHash)))
    }

    fun rolloutStatus(
        now: Timestamp,
        revision: Revision,
    ): RolloutStatus {
        rollout.setExpectedInstances(members(now).mapTo(HashSet()) { it.id })
        rollout.onReport(now, membership.self.id, cache.revision)
        return rollout.status(now, revision)
    }

    /** Sends the objects or the digest of [action] to peers. */
    fun performExchange(action: ExchangeAction) {
        when (action) {
            is ExchangeAction.Forward -> {
                membership
                    .targets(exchangeSettings.ownZoneTargets, exchangeSettings.otherZoneTargets)
                    .forEach { forwardObjects(it, action) }
            }

            is ExchangeAction.SendObjects -> {
                PeerMessage.Objects.split(action.items).forEach { peers.send(action.to, it) }
            }

            is ExchangeAction.SendDigest -> {
                peers.send(action.to, PeerMessage.Digest(action.digest))
            }
        }
    }

    private fun perform(
        now: Timestamp,
        actions: List<MembershipAction>,
    ) {
        for (action in actions) {
            when (action) {
                is MembershipAction.SendPing -> send(action.to, PeerMessage.Ping(action.gossip))
                is MembershipAction.SendAck -> send(action.to, PeerMessage.Ack(action.gossip))
                is MembershipAction.Changed -> onMemberChanged(now, action)
                is MembershipAction.Reported -> onReported(now, action)
                is MembershipAction.Paused -> onPaused(action)
                is MembershipAction.DeclaredGone -> EventLog.warn("the platform lists this instance as gone")
            }
        }
    }

    private fun onMemberChanged(
        now: Timestamp,
        action: MembershipAction.Changed,
    ) {
        val after = action.after
        EventLog.info("member changed", "instance" to after.id, "zone" to after.zone, "state" to after.state)
        if (after.state == MemberState.GONE) peers.forget(after.id)
        rollout.setExpectedInstances(members(now).mapTo(HashSet()) { it.id })
        listeners.onMembersChanged()
    }

    private fun onReported(
        now: Timestamp,
        action: MembershipAction.Reported,
    ) {
        rollout.onReport(now, action.instance, action.revision)
        listeners.onRevisionReported(now, action.instance, action.revision, action.contentHash)
    }

    private fun onPaused(action: MembershipAction.Paused) {
        EventLog.warn("this process was paused", "duration" to action.duration)
        listeners.onPaused()
    }

    private fun forwardObjects(
        peer: MemberRecord,
        action: ExchangeAction.Forward,
    ) {
        peers.connect(peer.id, peer.address)
        PeerMessage.Objects.split(action.items).forEach { peers.send(peer.id, it) }
    }

    private fun send(
        to: MemberRecord,
        message: PeerMessage,
    ) {
        peers.connect(to.id, to.address)
        peers.send(to.id, message)
    }

    private fun parseMemberState(text: String): MemberState =
        when (text) {
            "gone" -> MemberState.GONE
            "leaving" -> MemberState.LEAVING
            else -> MemberState.ALIVE
        }
}
