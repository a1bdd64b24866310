package oriolespindle.router.state

import oriolespindle.core.config.ObjectCache
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WriteResult
import oriolespindle.core.id.InstanceId
import oriolespindle.core.limit.Allotment
import oriolespindle.core.limit.LimitKey
import oriolespindle.core.limit.ShareAction
import oriolespindle.core.limit.ShareEvent
import oriolespindle.core.limit.ShareLedger
import oriolespindle.core.limit.ShareMessage
import oriolespindle.core.limit.SharePeer
import oriolespindle.core.limit.ShareSettings
import oriolespindle.core.limit.ShareUpdate
import oriolespindle.core.limit.TeamSlots
import oriolespindle.core.limit.UsageReport
import oriolespindle.core.membership.Member
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import oriolespindle.router.peer.PeerMessage
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformInstanceList
import oriolespindle.router.platform.PlatformObject
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.platform.toStored
import oriolespindle.router.runtime.monotonicNow

/** Connects the share ledger with peers, the platform and the limiter of the request component. */
internal class ShareSync(
    private val self: InstanceId,
    settings: ShareSettings,
    private val cache: ObjectCache,
    private val platform: PlatformClient,
    private val writer: ObjectWriter,
    private val peers: PeerSender,
    private val post: (StateMessage) -> Unit,
    private val applyShares: (ShareUpdate) -> Unit,
    private val onRemoved: () -> Unit,
) {
    private val ledger = ShareLedger(self, settings)
    private var isReading = false
    private var knownAllotment: StoredObject? = null

    /** Whether this instance can obtain units of limits, without which it admits no request. */
    val isSupplied: Boolean get() = ledger.isSupplied

    fun start() = readAllotment()

    fun onTick(now: Timestamp) {
        perform(ledger.handle(now, ShareEvent.Tick))
        if (knownAllotment == null && !isReading) readAllotment()
    }

    fun onContractsChanged(
        now: Timestamp,
        teams: List<TeamSlots>,
    ) = perform(ledger.handle(now, ShareEvent.Contracts(teams)))

    fun onUsageReported(
        now: Timestamp,
        report: UsageReport,
    ) = perform(ledger.handle(now, ShareEvent.Usage(report)))

    fun onMembersChanged(
        now: Timestamp,
        members: List<Member>,
    ) {
        val reachable = members.filter { it.reachable && it.id != self }.map { SharePeer(it.id, it.record.zone) }
        perform(ledger.handle(now, ShareEvent.Peers(reachable)))
    }

    fun onInstancesListed(
        now: Timestamp,
        list: PlatformInstanceList,
    ) {
        val routers = list.instances.filter { it.kind == "router" }
        val live = routers.filter { it.state == "live" }.map { InstanceId(it.id) }
        val gone = routers.filter { it.state == "gone" }.map { InstanceId(it.id) }
        perform(ledger.handle(now, ShareEvent.PlatformList(live, gone)))
    }

    fun onShareMessage(
        now: Timestamp,
        from: InstanceId,
        message: ShareMessage,
    ) = perform(ledger.handle(now, ShareEvent.Received(from, message)))

    /** Applies the allotment in the cache, which peers and the watch update. */
    fun onAllotmentCached(now: Timestamp) {
        val item = cache.get(ALLOTMENT_KEY) ?: return
        applyAllotment(now, item, requestedAt = null)
    }

    /** Applies the result of a read of the allotment from the platform that was sent at [requestedAt]. */
    fun onAllotmentRead(
        now: Timestamp,
        result: PlatformResult<PlatformObject>,
        requestedAt: Timestamp,
    ) {
        isReading = false
        when (result) {
            is PlatformResult.Ok -> {
                applyAllotment(now, result.value.toStored(), requestedAt)
            }

            is PlatformResult.NotFound -> {
                perform(ledger.handle(now, ShareEvent.AllotmentMissing))
            }

            is PlatformResult.Conflict, is PlatformResult.Unavailable -> {
                Unit
            }
        }
    }

    fun usable(key: LimitKey): Int = ledger.usable(key)

    private fun applyAllotment(
        now: Timestamp,
        item: StoredObject,
        requestedAt: Timestamp?,
    ) {
        val allotment = item.value?.let(Allotment::parseOrNull) ?: return
        val before = knownAllotment
        if (before == null || item.version > before.version) knownAllotment = item
        perform(ledger.handle(now, ShareEvent.AllotmentRead(allotment, requestedAt)))
    }

    private fun perform(actions: List<ShareAction>) {
        for (action in actions) {
            when (action) {
                is ShareAction.Send -> peers.send(action.to, PeerMessage.Share(action.message))
                is ShareAction.Apply -> applyShares(action.update)
                is ShareAction.ReadAllotment -> readAllotment()
                is ShareAction.Propose -> propose(action)
                is ShareAction.Restart -> onRemoved()
            }
        }
    }

    private fun readAllotment() {
        if (isReading) return
        isReading = true
        val requestedAt = monotonicNow()
        platform.get(ALLOTMENT_KEY.kind.code, ALLOTMENT_KEY.name) { post(StateMessage.AllotmentRead(it, requestedAt)) }
    }

    private fun propose(action: ShareAction.Propose) {
        val current = knownAllotment
        val generation = current?.value?.let(Allotment::parseOrNull)?.generation
        if (generation != action.expectedGeneration) {
            readAllotment()
            return
        }
        writer.write(ALLOTMENT_KEY, action.next.encode(), current?.version) { result ->
            EventLog.info(
                "allotment proposed",
                "generation" to action.next.generation,
                "accepted" to result.isAccepted(),
            )
            readAllotment()
        }
    }

    private fun WriteResult.isAccepted() = this is WriteResult.Accepted

    private companion object {
        val ALLOTMENT_KEY = ObjectKey(ObjectKind.ALLOTMENT, "shares")
    }
}
