package oriolespindle.router.state

import kotlinx.serialization.json.JsonObject
import oriolespindle.core.config.ConfigurationSync
import oriolespindle.core.config.ObjectCache
import oriolespindle.core.config.ObjectChange
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.RolloutStatus
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.SyncEvent
import oriolespindle.core.config.WriteResult
import oriolespindle.core.crash.CrashEvidence
import oriolespindle.core.fairness.DemandReport
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.limit.ShareSettings
import oriolespindle.core.limit.ShareUpdate
import oriolespindle.core.limit.TeamSlots
import oriolespindle.core.limit.UsageReport
import oriolespindle.core.membership.Member
import oriolespindle.core.membership.MemberRecord
import oriolespindle.core.time.Timestamp
import oriolespindle.router.metrics.Metrics
import oriolespindle.router.peer.PeerIdentity
import oriolespindle.router.peer.PeerMessage
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformInstance
import oriolespindle.router.platform.PlatformInstanceList
import oriolespindle.router.platform.PlatformList
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.runtime.Component
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import java.util.random.RandomGenerator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Callbacks from [StateComponent] to the other components.
 *
 * Each is called on the state component's thread and must not block. If [onChanged] returns false, the same changes are
 * offered again later.
 */
internal class StateListeners(
    val onChanged: (List<StoredObject>) -> Boolean,
    val onInstancesListed: (PlatformInstanceList) -> Unit,
    val onOperators: (List<StoredObject>) -> Unit,
    val onMembersChanged: (List<Member>) -> Unit,
    val onSharesChanged: (ShareUpdate) -> Unit,
    val onPaused: () -> Unit,
    val onRemoved: () -> Unit,
    val onDemand: (InstanceId, DemandReport) -> Unit,
    val onEvidence: (List<CrashEvidence>) -> Unit,
)

/** Maintains the configuration, the members of the fleet and this instance's shares of limits, on one thread. */
internal class StateComponent(
    private val platform: PlatformClient,
    private val timers: TimerService,
    private val self: PlatformInstance,
    random: RandomGenerator,
    metrics: Metrics,
    private val peers: PeerSender,
    private val listeners: StateListeners,
) {
    private val component = Component("state", RING_CAPACITY, handle = ::handle)
    private val sync = ConfigurationSync(InstanceId(self.id), ZoneId(self.zone), random = random)
    private val cache = sync.cache
    private val writer = ObjectWriter(platform, timers) { block -> post(StateMessage.Run(block)) }
    private val fleet = FleetView(selfRecord(), random, cache, peers, fleetListeners())
    private val configuration =
        ConfigurationSyncDriver(sync, platform, ::post, { _, action -> fleet.performExchange(action) }, ::publish)
    private val shares =
        ShareSync(
            self = InstanceId(self.id),
            settings = ShareSettings(ZoneId(self.zone)),
            cache = cache,
            platform = platform,
            writer = writer,
            peers = peers,
            post = ::post,
            applyShares = listeners.onSharesChanged,
            onRemoved = listeners.onRemoved,
        )
    private val unpublished = ArrayDeque<List<StoredObject>>()
    private var contentHash = 0L
    private var isListing = false
    private var nextListAt = Timestamp(Long.MIN_VALUE)
    private var isRegistered = false

    /** Whether the first configuration was published; one without objects is published too. */
    private var isPublished = false
    private var nextRegisterAt = Timestamp(Long.MIN_VALUE)

    /** The revision up to which this instance has received every change. */
    @Volatile
    var revision: Long = 0
        private set

    /** Whether this instance can obtain units of limits; once true, it stays true through outages. */
    @Volatile
    var isSupplied: Boolean = false
        private set

    init {
        metrics.gauge("oriolespindle.configuration.revision") { revision }
        metrics.gauge("oriolespindle.ring.state") { component.depth }
    }

    fun start() {
        component.start()
        post(StateMessage.Run(::begin))
        timers.every(TICK_INTERVAL) { component.offer(StateMessage.Tick) }
    }

    /** Starts with this instance as the only member, so that it watches the platform until it knows others. */
    private fun begin() {
        onMembersChanged()
        shares.start()
    }

    /** Runs [block] with the cached objects on this component's thread; [block] must not retain the cache. */
    fun read(block: (ObjectCache) -> Unit) {
        post(StateMessage.Run { block(cache) })
    }

    /** Passes a report on the configuration and the members to [answer] on this component's thread. */
    fun report(answer: (JsonObject) -> Unit) {
        post(StateMessage.Run { answer(StateStatus.report(cache, fleet.members(monotonicNow()))) })
    }

    /** Passes the rollout status of [revision] to [block] on this component's thread. */
    fun rollout(
        revision: Revision,
        block: (RolloutStatus) -> Unit,
    ) {
        post(StateMessage.Run { block(fleet.rolloutStatus(monotonicNow(), revision)) })
    }

    /** Writes an object to the platform, or deletes it if [value] is null; see [ObjectWriter.write]. */
    fun write(
        key: ObjectKey,
        value: String?,
        expected: Revision?,
        result: (WriteResult) -> Unit,
    ) {
        post(StateMessage.Run { writer.write(key, value, expected, result) })
    }

    fun onPeerMessage(
        from: InstanceId,
        message: PeerMessage,
    ) {
        if (message.isGossip) {
            component.offer(
                StateMessage.Peer(from, message),
            )
        } else {
            post(StateMessage.Peer(from, message))
        }
    }

    fun onPeerConnected(peer: PeerIdentity) = post(StateMessage.Connected(peer))

    fun onContractsChanged(teams: List<TeamSlots>) = post(StateMessage.Contracts(teams))

    fun onUsageReported(report: UsageReport) = post(StateMessage.Used(report))

    /** Sends [message] to every other reachable instance. */
    fun broadcast(message: PeerMessage) {
        post(StateMessage.Run { reachablePeers().forEach { peers.send(it.id, message) } })
    }

    /** Announces to the other instances that this one is shutting down. */
    fun leave() = post(StateMessage.Run { fleet.leave(monotonicNow()) })

    private fun post(message: StateMessage) {
        if (!component.offer(message)) timers.after(POST_RETRY_DELAY) { post(message) }
    }

    private fun handle(message: StateMessage) {
        val now = monotonicNow()
        when (message) {
            is StateMessage.Listed -> onObjectsListed(now, message.result)
            is StateMessage.Watched -> configuration.onWatchLine(now, message.watchId, message.line)
            is StateMessage.Instances -> onInstancesListed(now, message.result)
            is StateMessage.AllotmentRead -> shares.onAllotmentRead(now, message.result, message.requestedAt)
            is StateMessage.Peer -> handlePeerMessage(now, message)
            is StateMessage.Connected -> fleet.onPeerConnected(now, message.peer)
            is StateMessage.Contracts -> shares.onContractsChanged(now, message.teams)
            is StateMessage.Used -> shares.onUsageReported(now, message.report)
            is StateMessage.Run -> message.block()
            is StateMessage.Tick -> onTick(now)
        }
        isSupplied = shares.isSupplied
        if (revision != cache.revision.value || contentHash != cache.contentHash) {
            revision = cache.revision.value
            contentHash = cache.contentHash
            fleet.onConfigurationChanged(now)
        }
        // Peers can confirm that the configuration is complete before it was listed, and it may have no objects.
        if (revision > 0 && !isPublished) publish(emptyList())
    }

    private fun onTick(now: Timestamp) {
        flush()
        configuration.onTick(now)
        fleet.onTick(now)
        shares.onTick(now)
        if (!isListing && now >= nextListAt) {
            isListing = true
            nextListAt = now + LIST_INTERVAL
            platform.listInstances { post(StateMessage.Instances(it)) }
        }
        if (!isRegistered && now >= nextRegisterAt) {
            nextRegisterAt = now + REGISTER_RETRY_INTERVAL
            platform.register(self) { done -> if (done) post(StateMessage.Run { isRegistered = true }) }
        }
    }

    private fun handlePeerMessage(
        now: Timestamp,
        received: StateMessage.Peer,
    ) {
        val message = received.message
        if (fleet.handleHeartbeat(now, message)) return
        when (message) {
            is PeerMessage.Digest -> configuration.handle(now, SyncEvent.PeerDigest(received.from, message.content))
            is PeerMessage.Objects -> configuration.handle(now, SyncEvent.Objects(message.items))
            is PeerMessage.Share -> shares.onShareMessage(now, received.from, message.content)
            is PeerMessage.Demand -> listeners.onDemand(received.from, message.content)
            is PeerMessage.Evidence -> listeners.onEvidence(message.items)
            else -> Unit
        }
    }

    private fun onInstancesListed(
        now: Timestamp,
        result: PlatformResult<PlatformInstanceList>,
    ) {
        isListing = false
        if (result !is PlatformResult.Ok) return
        fleet.onInstancesListed(now, result.value)
        shares.onInstancesListed(now, result.value)
        listeners.onInstancesListed(result.value)
    }

    private fun onMembersChanged() {
        val now = monotonicNow()
        val members = fleet.members(now)
        configuration.handle(now, SyncEvent.Members(members))
        shares.onMembersChanged(now, members)
        listeners.onMembersChanged(members)
    }

    private fun onObjectsListed(
        now: Timestamp,
        result: PlatformResult<PlatformList>,
    ) {
        configuration.onListed(now, result)
        if (result is PlatformResult.Ok && !isPublished) publish(emptyList())
    }

    private fun fleetListeners(): FleetListeners =
        FleetListeners(
            onMembersChanged = ::onMembersChanged,
            onRevisionReported = { now, peer, peerRevision, peerHash ->
                configuration.handle(now, SyncEvent.PeerReported(peer, peerRevision, peerHash))
            },
            onPaused = listeners.onPaused,
        )

    private fun publish(changes: List<ObjectChange>) {
        isPublished = true
        val now = monotonicNow()
        if (changes.any { it.key.kind == ObjectKind.OPERATOR }) listeners.onOperators(cache.live(ObjectKind.OPERATOR))
        if (changes.any { it.key.kind == ObjectKind.ALLOTMENT }) shares.onAllotmentCached(now)
        unpublished.addLast(changes.map { it.after })
        flush()
    }

    /** Publishes the changes in order; those that a full ring buffer rejects are retried on the next tick. */
    private fun flush() {
        while (unpublished.isNotEmpty() && listeners.onChanged(unpublished.first())) unpublished.removeFirst()
    }

    private fun reachablePeers(): List<Member> =
        fleet.members(monotonicNow()).filter { it.reachable && it.id.value != self.id }

    private fun selfRecord() = MemberRecord(InstanceId(self.id), ZoneId(self.zone), self.address)

    private companion object {
        const val RING_CAPACITY = 4_096

        /** The share ledger expects about ten ticks per second and treats a gap of more than 3 s as a pause. */
        val TICK_INTERVAL: Duration = 100.milliseconds
        val POST_RETRY_DELAY: Duration = 2.milliseconds
        val LIST_INTERVAL: Duration = 1.seconds
        val REGISTER_RETRY_INTERVAL: Duration = 1.seconds
    }
}
