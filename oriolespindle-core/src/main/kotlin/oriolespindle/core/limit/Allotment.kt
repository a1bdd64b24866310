package oriolespindle.core.limit

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.id.InstanceId

/** An instance and the generation of the allotment in which it joined or was removed. */
@Serializable
public data class AllotmentEntry(
    public val instance: InstanceId,
    public val generation: Long,
)

/**
 * The stored record of the instances that hold units. It is changed only by conditional writes.
 *
 * @property generation the version of the allotment, which increases by at least 1 with each change.
 * @property initial the instances that started with equal units; the remainder went to the lowest ids.
 * @property members the instances that may give units and that report their transfers with removed instances.
 * @property removed the instances that the platform has reported as gone.
 * @property successor the member that takes over the units of all removed instances.
 */
@Serializable
public data class Allotment(
    public val generation: Long,
    public val initial: List<InstanceId>,
    public val members: List<AllotmentEntry>,
    public val removed: List<AllotmentEntry> = emptyList(),
    public val successor: InstanceId? = null,
) {
    /** The generation of the last removal, or 0 if there was none. */
    public val removalGeneration: Long get() = removed.maxOfOrNull { it.generation } ?: 0

    /** Returns the generation in which [instance] joined, or null if it is not a member. */
    public fun joinGeneration(instance: InstanceId): Long? = members.find { it.instance == instance }?.generation

    /** Returns whether [instance] was removed. */
    public fun isRemoved(instance: InstanceId): Boolean = removed.any { it.instance == instance }

    /** Returns the units of each limit that [instance] started with. */
    public fun initialUnits(instance: InstanceId): Int {
        val rank = initial.indexOf(instance)
        if (rank < 0) return 0
        val remainder = LimitKey.TOTAL_UNITS % initial.size
        return LimitKey.TOTAL_UNITS / initial.size + if (rank < remainder) 1 else 0
    }

    /**
     * Returns this allotment with [instance] as an additional member without units, or unchanged if it is a member or
     * was removed.
     */
    public fun withMember(instance: InstanceId): Allotment {
        if (joinGeneration(instance) != null || isRemoved(instance)) return this
        val next = generation + 1
        return copy(generation = next, members = members + AllotmentEntry(instance, next))
    }

    /**
     * Returns this allotment with the instances in [gone] removed.
     *
     * If no member remains, the instances in [live] start with equal units. That allotment must not be written before
     * the units used by the last members are free again.
     */
    public fun withoutInstances(
        gone: Collection<InstanceId>,
        live: Collection<InstanceId>,
    ): Allotment {
        val newlyRemoved = gone.filterNot(::isRemoved)
        if (newlyRemoved.isEmpty()) return this
        val next = generation + 1
        val remaining = members.filterNot { it.instance in gone }
        val allRemoved = removed + newlyRemoved.map { AllotmentEntry(it, next) }
        if (remaining.isEmpty()) return start(live, next + 1).copy(removed = prune(allRemoved))
        val keptSuccessor = successor?.takeIf { id -> remaining.any { it.instance == id } }
        return copy(
            generation = next,
            members = remaining,
            removed = prune(allRemoved),
            successor =
                keptSuccessor ?: remaining.map { it.instance }.firstOrNull { it in live } ?: remaining.first().instance,
        )
    }

    /** Returns this allotment as JSON. */
    public fun encode(): String = Json.encodeToString(serializer(), this)

    // The stored object must stay below the platform's limit of 1 MB. The oldest entries are weeks old by then, and
    // every member has settled with them. Entries of initial instances are kept, because their units are part of the
    // total.
    private fun prune(entries: List<AllotmentEntry>): List<AllotmentEntry> {
        val excess = entries.size - MAX_REMOVED
        if (excess <= 0) return entries
        return entries.filterIndexed { i, entry -> i >= excess || entry.instance in initial }
    }

    public companion object {
        private const val MAX_REMOVED = 5_000

        /** Returns the allotment in which all of [instances] start with equal units. */
        public fun start(
            instances: Collection<InstanceId>,
            generation: Long = 1,
        ): Allotment {
            val sorted = instances.distinct().sorted()
            return Allotment(generation, sorted, sorted.map { AllotmentEntry(it, generation) })
        }

        /** Parses [json], or returns null if it is not an allotment. */
        public fun parseOrNull(json: String): Allotment? =
            try {
                Json.decodeFromString(serializer(), json)
            } catch (_: SerializationException) {
                null
            }
    }
}
