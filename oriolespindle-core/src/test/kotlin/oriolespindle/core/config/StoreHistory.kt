package oriolespindle.core.config

import kotlin.random.Random

/** A seeded history of writes and deletions, and the content of the store at each revision. */
internal class StoreHistory(
    seed: Int,
    objects: Int,
    val length: Int,
    val kind: ObjectKind = ObjectKind.CONTRACT,
) {
    private val random = Random(seed)

    /** The writes in order; the write with revision n is at index n - 1. */
    val writes: List<StoredObject> =
        (1L..length).map { revision ->
            val key = ObjectKey(kind, "team-${random.nextInt(objects)}")
            val value = if (random.nextInt(4) == 0) null else """{"weight":$revision}"""
            StoredObject(key, Revision(revision), value)
        }

    fun liveAt(revision: Long): Map<String, StoredObject> =
        writes
            .take(revision.toInt())
            .associateBy { it.key.name }
            .filterValues { !it.deleted }

    fun listAt(revision: Long): ObjectEvent.Listed =
        ObjectEvent.Listed(setOf(kind), Revision(revision), liveAt(revision).values.toList())
}
