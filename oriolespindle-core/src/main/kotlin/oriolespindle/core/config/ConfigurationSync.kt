package oriolespindle.core.config

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.membership.Member
import oriolespindle.core.time.Timestamp
import java.util.random.RandomGenerator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Settings of [ConfigurationSync] and of its parts. */
public data class ConfigurationSyncSettings(
    public val watcherSelection: WatcherSelectionSettings = WatcherSelectionSettings(),
    public val liveness: WatchLivenessSettings = WatchLivenessSettings(),
    public val exchange: CacheExchangeSettings = CacheExchangeSettings(),
    /** How long to wait for the answer to a list before sending the next one. */
    public val listTimeout: Duration = 2.seconds,
)

/** An event that [ConfigurationSync] handles. */
public sealed interface SyncEvent {
    /** The time returned by [ConfigurationSync.nextTimer] has been reached or passed. */
    public data object Tick : SyncEvent

    /** The instances that this instance knows, including itself. */
    public data class Members(
        public val members: List<Member>,
    ) : SyncEvent

    /** The watch delivered a put or delete line. */
    public data class WatchLine(
        public val item: StoredObject,
    ) : SyncEvent

    /** The watch delivered an idle line: every change up to [revision] has been delivered. */
    public data class WatchIdle(
        public val revision: Revision,
    ) : SyncEvent

    /**
     * The watch ended or could not be opened.
     *
     * [relistRequired] is true if the platform no longer has the revision from which the watch was to start.
     */
    public data class WatchEnded(
        public val relistRequired: Boolean = false,
    ) : SyncEvent

    /** The answer to [SyncAction.List]. */
    public data class Listed(
        public val revision: Revision,
        public val items: List<StoredObject>,
    ) : SyncEvent

    /** Objects received from a peer or by a read, or written by this instance. */
    public data class Objects(
        public val items: List<StoredObject>,
    ) : SyncEvent

    /** The configuration in force at [peer], as reported in its heartbeat. */
    public data class PeerReported(
        public val peer: InstanceId,
        public val revision: Revision,
        public val contentHash: Long,
    ) : SyncEvent

    /** A digest received from [peer]. */
    public data class PeerDigest(
        public val peer: InstanceId,
        public val digest: CacheDigest,
    ) : SyncEvent
}

/** An action that [ConfigurationSync] asks its caller to perform. */
public sealed interface SyncAction {
    /** List the objects of [kinds] and deliver [SyncEvent.Listed]. */
    public data class List(
        public val kinds: Set<ObjectKind>,
    ) : SyncAction

    /** Open a watch of [kinds] that starts after revision [from]. */
    public data class OpenWatch(
        public val kinds: Set<ObjectKind>,
        public val from: Revision,
    ) : SyncAction

    /** Close the watch and discard the lines that still arrive on it. */
    public data object CloseWatch : SyncAction

    /** Send the message in [action] to peers. */
    public data class Exchange(
        public val action: ExchangeAction,
    ) : SyncAction

    /** [changes] have come into force at this instance. */
    public data class Changed(
        public val changes: kotlin.collections.List<ObjectChange>,
    ) : SyncAction
}

/**
 * Keeps [cache] up to date from the platform and the peers.
 *
 * An instance whose cache is not known to be complete lists the objects once. The instances that [WatcherSelection]
 * selects keep a watch open. The others list at long intervals and rely on their peers, so that a change that has
 * reached one instance still spreads while the platform is down.
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

    /** No list is required once a peer has confirmed that the cache is complete. */
    private val isListRequired: Boolean get() = relistRequired || (!hasListed && cache.revision == Revision.NONE)

    /** The configuration in force at this instance. */
    public val cache: ObjectCache = ObjectCache(kinds)

    /** Whether this instance watches the platform for its zone or relies on its peers. */
    public var role: WatchRole = WatchRole.LISTEN
        private set

    init {
        exchange = CacheExchange(cache, settings.exchange)
    }

    /** Applies [event] and returns the actions to perform, in order. */
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

    /** Returns the time at which [SyncEvent.Tick] is due. */
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
