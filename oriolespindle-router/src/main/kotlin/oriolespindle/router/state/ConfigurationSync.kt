package oriolespindle.router.state

import oriolespindle.core.config.ObjectCache
import oriolespindle.core.config.ObjectChange
import oriolespindle.core.config.ObjectEvent
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WatchDuty
import oriolespindle.core.config.WatchLiveness
import oriolespindle.core.config.WatchRole
import oriolespindle.core.config.WatchSignal
import oriolespindle.core.config.WatchSpan
import oriolespindle.core.config.WatchStep
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.membership.Member
import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformList
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.platform.Watch
import oriolespindle.router.platform.WatchLine
import oriolespindle.router.platform.key
import oriolespindle.router.platform.toStored
import oriolespindle.router.runtime.monotonicNow
import java.util.random.RandomGenerator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Takes configuration from the platform.
 *
 * Every instance lists the objects once at its start. After that a few instances of each zone watch, each from a new
 * list when its watch was interrupted, and the others list rarely and hear changes from their peers.
 */
internal class ConfigurationSync(
    private val platform: PlatformClient,
    private val cache: ObjectCache,
    random: RandomGenerator,
    zone: ZoneId,
    self: String,
    private val post: (StateMessage) -> Unit,
    private val onChange: (List<ObjectChange>) -> Unit,
) {
    private val kinds = ObjectKind.CACHED
    private val codes = kinds.map { it.code }.sorted()
    private val duty = WatchDuty(InstanceId(self), zone, random = random)
    private val liveness = WatchLiveness(random = random)
    private var watch: Watch? = null
    private var watchNumber = 0
    private var span = WatchSpan(kinds, Revision.NONE)
    private var listing = false
    private var listedOnce = false
    private var listDue = Timestamp(Long.MIN_VALUE)
    private var watching = false

    fun tick(
        now: Timestamp,
        members: List<Member>,
    ) {
        val isWatcher = duty.role(members) == WatchRole.WATCH
        if (isWatcher != watching) {
            watching = isWatcher
            step(liveness.handle(now, if (isWatcher) WatchSignal.START else WatchSignal.STOP))
        }
        if (isWatcher) step(liveness.handle(now, WatchSignal.TICK))
        val checkDue = !listedOnce || (!isWatcher && now >= duty.nextCheck(now))
        if (checkDue && !listing && now >= listDue) list(now)
    }

    fun listed(
        now: Timestamp,
        result: PlatformResult<PlatformList>,
    ) {
        listing = false
        duty.checked(now)
        if (result !is PlatformResult.Ok) {
            listDue = now + LIST_RETRY
            if (watching) step(liveness.handle(now, WatchSignal.ENDED))
            return
        }
        listedOnce = true
        val revision = Revision(result.value.revision)
        val items = result.value.items.map { it.toStored() }
        onChange(cache.apply(now, ObjectEvent.Listed(kinds, revision, items)))
        if (watching) openWatch(revision)
    }

    fun watched(
        now: Timestamp,
        number: Int,
        line: WatchLine?,
    ) {
        if (number != watchNumber) return
        if (line == null) {
            step(liveness.handle(now, WatchSignal.ENDED))
            return
        }
        step(liveness.handle(now, WatchSignal.LINE))
        onChange(cache.apply(now, event(line) ?: return))
    }

    private fun step(steps: List<WatchStep>) {
        for (step in steps) {
            when (step) {
                WatchStep.OPEN -> reopen()
                WatchStep.CLOSE -> closeWatch()
            }
        }
    }

    /** A watch starts with a list, because the platform keeps the changes of the past only for a while. */
    private fun reopen() {
        if (!listing) list(monotonicNow())
    }

    private fun list(now: Timestamp) {
        listing = true
        listDue = now
        platform.list(codes) { post(StateMessage.Listed(it)) }
    }

    private fun openWatch(from: Revision) {
        closeWatch()
        val number = watchNumber
        span = WatchSpan(kinds, from)
        watch = platform.watch(codes, from.value) { post(StateMessage.Watched(number, it)) }
    }

    private fun closeWatch() {
        watchNumber++
        watch?.let {
            EventLog.info("watch of the platform closed")
            it.close()
        }
        watch = null
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
        val LIST_RETRY: Duration = 1.seconds
    }
}
