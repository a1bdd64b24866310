package oriolespindle.core.config

import com.dynatrace.hash4j.hashing.Hashing

/** Caches the objects of one kind, with the revision up to which they are complete and their content hash. */
internal class KindCache(
    private val kind: ObjectKind,
) {
    private val objects = LinkedHashMap<String, StoredObject>()

    /** The revision up to which every change has been applied. */
    var completeRevision: Revision = Revision.NONE
        private set

    /** The sum of the hashes of the live objects, which is independent of their order. */
    var contentHash: Long = 0
        private set

    private var liveCount = 0

    fun get(name: String): StoredObject? = objects[name]

    fun live(): List<StoredObject> = objects.values.filter { !it.deleted }

    fun advanceTo(revision: Revision) {
        completeRevision = maxOf(completeRevision, revision)
    }

    /**
     * Stores [item] if it is newer than the cached version, and returns the change in the live objects.
     *
     * A live version up to [completeRevision] of an object that is not live here has since been deleted. A tombstone is
     * stored in its place, so that the peer that sent the object learns of the deletion.
     */
    fun apply(item: StoredObject): ObjectChange? {
        val before = objects[item.key.name]
        if (before != null && item.version <= before.version) return null
        val absent = before == null || before.deleted
        if (absent && !item.deleted && item.version <= completeRevision) {
            objects[item.key.name] = StoredObject.tombstone(item.key, completeRevision)
            return null
        }
        store(before, item)
        return if (absent && item.deleted) null else ObjectChange(before, item)
    }

    /** Marks every object with a version up to [revision] whose name is not in [present] as deleted. */
    fun deleteMissing(
        present: Set<String>,
        revision: Revision,
    ): List<ObjectChange> {
        val missing = live().filter { it.version <= revision && it.key.name !in present }
        return missing.mapNotNull { apply(StoredObject.tombstone(it.key, revision)) }
    }

    fun digest(detailed: Boolean): KindDigest {
        val count = if (detailed) bucketCount(liveCount) else 1
        return KindDigest(kind, completeRevision, buckets(count))
    }

    /** Returns whether [digest] describes the same live objects. */
    fun matches(digest: KindDigest): Boolean = digest.buckets.sum() == contentHash

    fun difference(digest: KindDigest?): List<StoredObject> {
        if (digest == null) return objects.values.toList()
        if (matches(digest)) return emptyList()
        val count = digest.buckets.size
        val own = buckets(count)
        val differing = own.indices.filter { own[it] != digest.buckets[it] }.toSet()
        val candidates = objects.values.filter { bucketOf(it.key.name, count) in differing }
        val newer = candidates.filter { it.version > digest.known }
        return if (newer.isEmpty() && isFineGrained(count)) candidates else newer
    }

    private fun store(
        before: StoredObject?,
        after: StoredObject,
    ) {
        if (before != null && !before.deleted) {
            contentHash -= hashOf(before)
            liveCount--
        }
        if (!after.deleted) {
            contentHash += hashOf(after)
            liveCount++
        }
        objects[after.key.name] = after
    }

    /**
     * Returns whether a digest with this number of buckets is detailed enough to answer with whole buckets.
     *
     * The sender of a coarser digest receives a detailed digest instead of every object of the kind.
     */
    private fun isFineGrained(buckets: Int): Boolean = buckets * 2 >= bucketCount(liveCount)

    private fun buckets(count: Int): List<Long> {
        if (count == 1) return listOf(contentHash)
        val sums = LongArray(count)
        objects.values
            .filter { !it.deleted }
            .forEach { sums[bucketOf(it.key.name, count)] += hashOf(it) }
        return sums.asList()
    }

    private fun hashOf(item: StoredObject): Long {
        val name = HASHER.hashCharsToLong(item.key.name)
        return HASHER.hashLongLongToLong(name, item.version.value)
    }

    private fun bucketOf(
        name: String,
        count: Int,
    ): Int = (HASHER.hashCharsToLong(name) and (count - 1).toLong()).toInt()

    internal companion object {
        private val HASHER = Hashing.wyhashFinal4()

        /** With about eight objects in a bucket, one differing object costs the transfer of about eight at most. */
        private const val OBJECTS_PER_BUCKET = 8

        /** Bounds the digest of one kind to about 10 KB. */
        private const val MAX_BUCKETS = 1024

        fun bucketCount(objects: Int): Int =
            Integer
                .highestOneBit(maxOf(1, objects / OBJECTS_PER_BUCKET))
                .coerceAtMost(MAX_BUCKETS)

        fun isValidBucketCount(count: Int): Boolean = count in 1..MAX_BUCKETS && Integer.bitCount(count) == 1
    }
}
