package oriolespindle.router.state

import oriolespindle.core.config.ConfigurationSync
import oriolespindle.core.config.ExchangeAction
import oriolespindle.core.config.ObjectChange
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.SyncAction
import oriolespindle.core.config.SyncEvent
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformList
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.platform.Watch
import oriolespindle.router.platform.WatchLine
import oriolespindle.router.platform.key
import oriolespindle.router.platform.toStored

/** Performs the actions of [ConfigurationSync] and owns its watch of the platform. */
internal class ConfigurationSyncDriver(
    private val sync: ConfigurationSync,
    private val platform: PlatformClient,
    private val post: (StateMessage) -> Unit,
    private val onExchange: (Timestamp, ExchangeAction) -> Unit,
    private val onChange: (List<ObjectChange>) -> Unit,
) {
    private var watch: Watch? = null
    private var currentWatchId = 0

    /** Passes [event] to the synchronization and performs the actions that it returns. */
    fun handle(
        now: Timestamp,
        event: SyncEvent,
    ) {
        sync.handle(now, event).forEach { perform(now, it) }
    }

    fun onTick(now: Timestamp) {
        if (now >= sync.nextTimer(now)) handle(now, SyncEvent.Tick)
    }

    /** Applies the answer to a list; without a usable answer the synchronization lists again by itself. */
    fun onListed(
        now: Timestamp,
        result: PlatformResult<PlatformList>,
    ) {
        if (result !is PlatformResult.Ok) return
        val items = result.value.items.map { it.toStored() }
        handle(now, SyncEvent.Listed(Revision(result.value.revision), items))
    }

    /** Handles a line of the watch [watchId], or the end of that watch if [line] is null. */
    fun onWatchLine(
        now: Timestamp,
        watchId: Int,
        line: WatchLine?,
    ) {
        if (watchId != currentWatchId) return
        if (line == null) {
            watch = null
            handle(now, SyncEvent.WatchEnded())
        } else {
            toSyncEvent(line)?.let { handle(now, it) }
        }
    }

    private fun perform(
        now: Timestamp,
        action: SyncAction,
    ) {
        when (action) {
            is SyncAction.List -> platform.list(kindCodes(action.kinds)) { post(StateMessage.Listed(it)) }
            is SyncAction.OpenWatch -> openWatch(action)
            is SyncAction.CloseWatch -> closeWatch()
            is SyncAction.Exchange -> onExchange(now, action.action)
            is SyncAction.Changed -> onChange(action.changes)
        }
    }

    private fun openWatch(action: SyncAction.OpenWatch) {
        closeWatch()
        val watchId = currentWatchId
        EventLog.info("watch of the platform opened", "revision" to action.from)
        watch = platform.watch(kindCodes(action.kinds), action.from.value) { post(StateMessage.Watched(watchId, it)) }
    }

    /** Closes the watch and increments its id, so that lines of the closed watch that arrive later are ignored. */
    private fun closeWatch() {
        currentWatchId++
        watch?.close()
        watch = null
    }

    private fun kindCodes(kinds: Set<ObjectKind>): List<String> = kinds.map { it.code }.sorted()

    private fun toSyncEvent(line: WatchLine): SyncEvent? {
        val revision = Revision(line.revision)
        val item = line.`object`
        return when (line.type) {
            "put" -> item?.let { SyncEvent.WatchLine(it.toStored()) }
            "delete" -> item?.let { SyncEvent.WatchLine(StoredObject.tombstone(it.key(), revision)) }
            "idle" -> SyncEvent.WatchIdle(revision)
            else -> null
        }
    }
}
