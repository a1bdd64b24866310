package oriolespindle.router.state

import oriolespindle.core.config.ObjectCache
import oriolespindle.core.config.ObjectChange
import oriolespindle.core.config.ObjectEvent
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WatchSpan
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformList
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.platform.Watch
import oriolespindle.router.platform.WatchLine
import oriolespindle.router.platform.key
import oriolespindle.router.platform.toStored
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Keeps [cache] equal to the platform's objects by a list and a watch that starts at the list's revision. */
internal class ConfigurationSync(
    private val platform: PlatformClient,
    private val cache: ObjectCache,
    private val post: (StateMessage) -> Unit,
    private val onChange: (List<ObjectChange>) -> Unit,
) {
    private val kinds = ObjectKind.CACHED
    private val codes = kinds.map { it.code }.sorted()
    private var watch: Watch? = null
    private var watchNumber = 0
    private var span = WatchSpan(kinds, Revision.NONE)
    private var lastLine = Timestamp.ZERO
    private var listDue = Timestamp(Long.MIN_VALUE)
    private var listing = false

    fun tick(now: Timestamp) {
        if (watch != null && now - lastLine > WATCH_SILENCE) {
            EventLog.warn("watch of the platform was silent, reconnecting")
            endWatch(now)
        }
        if (watch == null && !listing && now >= listDue) list()
    }

    fun listed(
        now: Timestamp,
        result: PlatformResult<PlatformList>,
    ) {
        listing = false
        if (result !is PlatformResult.Ok) {
            listDue = now + LIST_RETRY
            return
        }
        val revision = Revision(result.value.revision)
        val items = result.value.items.map { it.toStored() }
        onChange(cache.apply(now, ObjectEvent.Listed(kinds, revision, items)))
        openWatch(now, revision)
    }

    fun watched(
        now: Timestamp,
        number: Int,
        line: WatchLine?,
    ) {
        if (number != watchNumber) return
        if (line == null) {
            endWatch(now)
            return
        }
        lastLine = now
        onChange(cache.apply(now, event(line) ?: return))
    }

    private fun list() {
        listing = true
        platform.list(codes) { post(StateMessage.Listed(it)) }
    }

    private fun openWatch(
        now: Timestamp,
        from: Revision,
    ) {
        watchNumber++
        val number = watchNumber
        span = WatchSpan(kinds, from)
        lastLine = now
        watch = platform.watch(codes, from.value) { post(StateMessage.Watched(number, it)) }
    }

    private fun endWatch(now: Timestamp) {
        watchNumber++
        watch?.close()
        watch = null
        listDue = now + LIST_RETRY
    }

    private fun event(line: WatchLine): ObjectEvent? {
        val revision = Revision(line.revision)
        val item = line.`object`
        return when (line.type) {
            "put" -> item?.let { ObjectEvent.Watched(span, it.toStored()) }
            "delete" -> item?.let { ObjectEvent.Watched(span, StoredObject.tombstone(it.key(), revision)) }
            "idle" -> ObjectEvent.WatchIdle(span, revision)
            else -> null
        }
    }

    private companion object {
        /** The platform sends a line each second, so several lost ones mean that the connection is gone. */
        val WATCH_SILENCE: Duration = 4.seconds
        val LIST_RETRY: Duration = 1.seconds
    }
}
