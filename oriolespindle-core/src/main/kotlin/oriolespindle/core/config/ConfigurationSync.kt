package oriolespindle.core.config

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.membership.Member
import oriolespindle.core.time.Timestamp
import java.util.random.RandomGenerator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The settings of the parts of [ConfigurationSync]. */
public data class ConfigurationSyncSettings(
    public val watcherSelection: WatcherSelectionSettings = WatcherSelectionSettings(),
    public val liveness: WatchLivenessSettings = WatchLivenessSettings(),
    public val exchange: CacheExchangeSettings = CacheExchangeSettings(),
    /** How long after a list without an answer the next one is sent. */
    public val listTimeout: Duration = 2.seconds,
)

/** Something that concerns the configuration of this instance. */
public sealed interface SyncEvent {
    /** The time of [ConfigurationSync.nextTimer], or any later time, has come. */
    public data object Tick : SyncEvent

    /** The instances that this one knows, itself included. */
    public data class Members(
        public val members: List<Member>,
    ) : SyncEvent

    /** A put or delete line of the watch. */
    public data class WatchLine(
        public val item: StoredObject,
    ) : SyncEvent

    /** An idle line of the watch. */
    public data class WatchIdle(
        public val revision: Revision,
    ) : SyncEvent

    /** The watch ended, could not be opened, or its revision is too old when [relistRequired]. */
    public data class WatchEnded(
        public val relistRequired: Boolean = false,
    ) : SyncEvent

    /** The answer to [SyncAction.List]. */
    public data class Listed(
        public val revision: Revision,
        public val items: List<StoredObject>,
    ) : SyncEvent

    /** Objects from a peer, a read, or an own write that landed. */
    public data class Objects(
        public val items: List<StoredObject>,
    ) : SyncEvent

    /** The configuration in force at [peer], from its heartbeat. */
    public data class PeerReported(
        public val peer: InstanceId,
        public val revision: Revision,
        public val contentHash: Long,
    ) : SyncEvent

    /** The digest of [peer]. */
    public data class PeerDigest(
        public val peer: InstanceId,
        public val digest: CacheDigest,
    ) : SyncEvent
}

/** What the synchronization asks its caller to do. */
public sealed interface SyncAction {
    /** List the objects of [kinds] and deliver [SyncEvent.Listed]. */
    public data class List(
        public val kinds: Set<ObjectKind>,
    ) : SyncAction

    /** Open a watch of [kinds] from [from]. */
    public data class OpenWatch(
        public val kinds: Set<ObjectKind>,
        public val from: Revision,
    ) : SyncAction

    /** Close the watch; its later lines must not be delivered. */
    public data object CloseWatch : SyncAction

    /** Send something to peers. */
    public data class Exchange(
        public val action: ExchangeAction,
    ) : SyncAction

    /** The configuration in force here changed by [changes]. */
    public data class Changed(
        public val changes: kotlin.collections.List<ObjectChange>,
    ) : SyncAction
}

/**
 * Keeps [cache] current from the platform and the peers.
 *
 * An instance without a complete revision lists once. Instances whose duty it is keep a watch open; the others list
 * rarely and rely on their peers, so that the platform may be down without stopping changes that a peer has.
 */
public class ConfigurationSync(
    self: InstanceId,
    zone: ZoneId,
    private val kinds: Set<ObjectKind> = ObjectKind.CACHED,
    private val settings: ConfigurationSyncSettings = ConfigurationSyncSettings(),
    random: RandomGenerator,
) {
    private val watcherSelection = WatcherSelection(self, zone, settings.watcherSelection, random)
    private val liveness = WatchLiveness(settings.liveness, random)
    private val exchange: CacheExchange
    private var watchScope: WatchScope? = null
    private var listSentAt: Timestamp? = null
    private var hasListed = false
    private var relistRequired = false

    /** Peers can confirm a complete revision too, after which no list is needed. */
    private val isListRequired: Boolean get() = relistRequired || (!hasListed && cache.revision == Revision.NONE)

    /** The configuration in force at this instance. */
    public val cache: ObjectCache = ObjectCache(kinds)

    /** What this instance does for its zone. */
    public var role: WatchRole = WatchRole.LISTEN
        private set

    init {
        exchange = CacheExchange(cache, settings.exchange)
    }

    /** Applies [event] and returns what to do. */
    public fun handle(
        now: Timestamp,
        event: SyncEvent,
    ): List<SyncAction> {
        val actions = ArrayList<SyncAction>()
        when (event) {
            SyncEvent.Tick -> {
                applyWatchSteps(liveness.handle(now, WatchSignal.TICK), actions)
            }

            is SyncEvent.Members -> {
                role = watcherSelection.role(event.members)
            }

            is SyncEvent.WatchLine -> {
                onWatchLine(now, actions) { ObjectEvent.Watched(it, event.item) }
            }

            is SyncEvent.WatchIdle -> {
                onWatchLine(now, actions) { ObjectEvent.WatchIdle(it, event.revision) }
            }

            is SyncEvent.WatchEnded -> {
                onWatchEnded(now, event, actions)
            }

            is SyncEvent.Listed -> {
                onListed(now, event, actions)
            }

            is SyncEvent.Objects -> {
                applyToCache(now, ObjectEvent.FromPeer(event.items), actions)
            }

            is SyncEvent.PeerReported -> {
                addExchanges(exchange.onHeartbeat(now, event.peer, event.revision, event.contentHash), actions)
            }

            is SyncEvent.PeerDigest -> {
                addExchanges(exchange.onDigest(now, event.peer, event.digest), actions)
            }
        }
        advance(now, actions)
        return actions
    }

    /** Returns when [SyncEvent.Tick] is due. */
    public fun nextTimer(now: Timestamp): Timestamp {
        val listTimeoutAt = listSentAt?.plus(settings.listTimeout)
        return listOfNotNull(listTimeoutAt, liveness.nextTimer(), watcherSelection.nextListAt(now)).min()
    }

    private fun advance(
        now: Timestamp,
        actions: MutableList<SyncAction>,
    ) {
        val isPeriodicListDue = role == WatchRole.LISTEN && now >= watcherSelection.nextListAt(now)
        if (isPeriodicListDue) watcherSelection.onListSent(now)
        val hasListTimedOut = listSentAt?.let { now - it >= settings.listTimeout } ?: false
        if (hasListTimedOut) listSentAt = null
        if ((isListRequired || isPeriodicListDue) && listSentAt == null) {
            listSentAt = now
            actions += SyncAction.List(kinds)
        }
        val isWatcher = role == WatchRole.WATCH && !isListRequired
        applyWatchSteps(liveness.handle(now, if (isWatcher) WatchSignal.START else WatchSignal.STOP), actions)
    }

    private fun onWatchLine(
        now: Timestamp,
        actions: MutableList<SyncAction>,
        event: (WatchScope) -> ObjectEvent,
    ) {
        val current = watchScope ?: return
        liveness.handle(now, WatchSignal.LINE)
        applyToCache(now, event(current), actions)
    }

    private fun onWatchEnded(
        now: Timestamp,
        event: SyncEvent.WatchEnded,
        actions: MutableList<SyncAction>,
    ) {
        watchScope = null
        if (event.relistRequired) relistRequired = true
        applyWatchSteps(liveness.handle(now, WatchSignal.ENDED), actions)
    }

    private fun onListed(
        now: Timestamp,
        event: SyncEvent.Listed,
        actions: MutableList<SyncAction>,
    ) {
        listSentAt = null
        hasListed = true
        relistRequired = false
        applyToCache(now, ObjectEvent.Listed(kinds, event.revision, event.items), actions)
    }

    private fun applyToCache(
        now: Timestamp,
        event: ObjectEvent,
        actions: MutableList<SyncAction>,
    ) {
        val changes = cache.apply(now, event)
        if (changes.isEmpty()) return
        actions += SyncAction.Changed(changes)
        addExchanges(exchange.onChanges(changes), actions)
    }

    private fun addExchanges(
        exchanges: List<ExchangeAction>,
        actions: MutableList<SyncAction>,
    ) {
        exchanges.mapTo(actions) { SyncAction.Exchange(it) }
    }

    private fun applyWatchSteps(
        steps: List<WatchStep>,
        actions: MutableList<SyncAction>,
    ) {
        steps.forEach { step ->
            watchScope = if (step == WatchStep.OPEN) WatchScope(kinds, cache.revision) else null
            actions += watchScope?.let { SyncAction.OpenWatch(kinds, it.from) } ?: SyncAction.CloseWatch
        }
    }
}
