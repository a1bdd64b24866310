package oriolespindle.testkit.platform

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Older lists than this many changes cannot be shown any more. */
private const val KEPT_LISTS = 10_000

/** The instance list and its past, so that a lagging list can be shown; confined to its owner's lock. */
internal class InstanceRegistry {
    private data class Past(
        val since: ComparableTimeMark,
        val list: InstanceList,
    )

    private val past = ArrayDeque(listOf(Past(TimeSource.Monotonic.markNow(), InstanceList(0, emptyList()))))

    fun register(instance: PlatformInstance) {
        val current = past.last().list
        val others = current.instances.filter { it.id != instance.id }
        past += Past(TimeSource.Monotonic.markNow(), InstanceList(current.version + 1, others + instance))
        if (past.size > KEPT_LISTS) past.removeFirst()
    }

    /** The list as it was [lag] ago. */
    fun list(lag: Duration): InstanceList {
        val then = TimeSource.Monotonic.markNow() - lag
        return past.lastOrNull { it.since <= then }?.list ?: past.first().list
    }
}
