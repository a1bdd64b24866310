package oriolespindle.router.state

import oriolespindle.core.config.ObjectCache
import oriolespindle.core.config.ObjectChange
import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.ObjectKind
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WriteResult
import oriolespindle.core.time.Timestamp
import oriolespindle.router.metrics.Metrics
import oriolespindle.router.platform.PlatformClient
import oriolespindle.router.platform.PlatformInstance
import oriolespindle.router.platform.PlatformInstanceList
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.runtime.Component
import oriolespindle.router.runtime.TimerService
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps the configuration and the knowledge about other instances, on one thread. */
internal class StateComponent(
    private val platform: PlatformClient,
    private val timers: TimerService,
    private val self: PlatformInstance,
    metrics: Metrics,
    private val changed: (List<StoredObject>) -> Boolean,
    private val listed: (PlatformInstanceList) -> Unit,
    private val operators: (List<StoredObject>) -> Unit,
) {
    private val component = Component("state", RING_CAPACITY, ::handle)
    private val cache = ObjectCache()
    private val sync = ConfigurationSync(platform, cache, ::post, ::publish)
    private val writer = ObjectWriter(platform, timers) { block -> post(StateMessage.Run(block)) }
    private val unpublished = ArrayDeque<List<StoredObject>>()
    private var listing = false
    private var listDue = Timestamp(Long.MIN_VALUE)
    private var registered = false

    /** Whether the first list was handed on; it is also handed on when it has no objects. */
    private var published = false
    private var registerDue = Timestamp(Long.MIN_VALUE)

    /** The revision up to which this instance has every change. */
    @Volatile
    var revision: Long = 0
        private set

    init {
        metrics.gauge("oriolespindle.configuration.revision") { revision }
    }

    fun start() {
        component.start()
        timers.every(TICK) { component.offer(StateMessage.Tick) }
    }

    /** Runs [block] with the cached objects on this component's thread; it must not keep the cache. */
    fun read(block: (ObjectCache) -> Unit) {
        post(StateMessage.Run { block(cache) })
    }

    /** Writes or, with a null [value], deletes an object in the platform on condition of its version. */
    fun write(
        key: ObjectKey,
        value: String?,
        expected: Revision?,
        result: (WriteResult) -> Unit,
    ) {
        post(StateMessage.Run { writer.write(key, value, expected, result) })
    }

    private fun post(message: StateMessage) {
        if (!component.offer(message)) timers.after(RING_RETRY) { post(message) }
    }

    private fun handle(message: StateMessage) {
        val now = monotonicNow()
        when (message) {
            is StateMessage.Listed -> sync.listed(now, message.result)
            is StateMessage.Watched -> sync.watched(now, message.watch, message.line)
            is StateMessage.Instances -> instancesListed(message.result)
            is StateMessage.Run -> message.block()
            is StateMessage.Tick -> tick(now)
        }
        revision = cache.revision.value
    }

    private fun tick(now: Timestamp) {
        flush()
        sync.tick(now)
        if (!listing && now >= listDue) {
            listing = true
            listDue = now + LIST_INTERVAL
            platform.instances { post(StateMessage.Instances(it)) }
        }
        if (!registered && now >= registerDue) {
            registerDue = now + REGISTER_RETRY
            platform.register(self) { done -> if (done) registered = true }
        }
    }

    private fun instancesListed(result: PlatformResult<PlatformInstanceList>) {
        listing = false
        if (result is PlatformResult.Ok) listed(result.value)
    }

    private fun publish(changes: List<ObjectChange>) {
        if (changes.isEmpty() && published) return
        published = true
        if (changes.any { it.key.kind == ObjectKind.OPERATOR }) operators(cache.live(ObjectKind.OPERATOR))
        unpublished.addLast(changes.map { it.after })
        flush()
    }

    /** Hands changes on in order; what a full ring buffer does not take waits for the next tick. */
    private fun flush() {
        while (unpublished.isNotEmpty() && changed(unpublished.first())) unpublished.removeFirst()
    }

    private companion object {
        const val RING_CAPACITY = 4_096
        val TICK: Duration = 50.milliseconds
        val RING_RETRY: Duration = 2.milliseconds
        val LIST_INTERVAL: Duration = 1.seconds
        val REGISTER_RETRY: Duration = 1.seconds
    }
}
