package oriolespindle.core.config

import oriolespindle.core.time.Timestamp

/**
 * The configuration that is in force at one instance.
 *
 * Events arrive from a watch, lists, peers and reads in any order. The highest version of each object is kept,
 * deletions included, so that an older event never brings an older state back. Objects of other kinds than [kinds] are
 * ignored.
 */
public class ObjectCache(
    private val kinds: Set<ObjectKind> = ObjectKind.CACHED,
) {
    private val caches: Map<ObjectKind, KindCache> = kinds.sorted().associateWith { KindCache(it) }

    /**
     * The revision up to which every change of all kinds is in force here.
     *
     * It is [Revision.NONE] until a list, or a peer with the same content, has confirmed that nothing is missing.
     */
    public val revision: Revision get() = caches.values.minOfOrNull { it.known } ?: Revision.NONE

    /** A hash over all live objects; two caches with equal hashes hold the same configuration. */
    public val contentHash: Long
        get() = caches.values.fold(0L) { hash, cache -> hash * HASH_FACTOR + cache.contentHash }

    /** Applies [event] and returns the objects whose content in force changed. */
    @Suppress("UNUSED_PARAMETER")
    public fun apply(
        now: Timestamp,
        event: ObjectEvent,
    ): List<ObjectChange> =
        when (event) {
            is ObjectEvent.Watched -> watched(event)
            is ObjectEvent.WatchIdle -> nothing { raise(event.span, event.revision) }
            is ObjectEvent.Listed -> listed(event)
            is ObjectEvent.FromPeer -> event.items.mapNotNull(::put)
            is ObjectEvent.PeerDigest -> nothing { confirm(event.digest) }
            is ObjectEvent.PeerConfirmed -> nothing { confirm(event) }
            is ObjectEvent.Read -> listOfNotNull(put(event.item))
        }

    /** Returns the highest known version of [key], which may be a tombstone, or null when none is known. */
    public fun get(key: ObjectKey): StoredObject? = caches[key.kind]?.get(key.name)

    /** Returns the live objects of [kind]. */
    public fun live(kind: ObjectKind): List<StoredObject> = caches[kind]?.live().orEmpty()

    /**
     * Returns the description of the live objects that peers compare with their own.
     *
     * One hash and the complete revision of each kind are enough for a peer that is only behind. A [detailed] digest
     * has a hash for about eight objects.
     */
    public fun digest(detailed: Boolean = false): CacheDigest = CacheDigest(caches.values.map { it.digest(detailed) })

    /** Whether [digest] describes the same live objects. */
    public fun matches(digest: CacheDigest): Boolean =
        caches.all { (kind, cache) -> digest.of(kind)?.let(cache::matches) ?: cache.live().isEmpty() }

    /**
     * Returns the objects that the sender of [digest] may lack, tombstones included.
     *
     * Objects newer than the sender's complete revision come first; only when there are none, and the digest is
     * detailed, are all objects of the differing buckets returned, so that the sender can answer which are deleted.
     */
    public fun difference(digest: CacheDigest): List<StoredObject> =
        caches.flatMap { (kind, cache) ->
            val other = digest.of(kind)?.takeIf { KindCache.validBuckets(it.buckets.size) }
            cache.difference(other)
        }

    private fun watched(event: ObjectEvent.Watched): List<ObjectChange> {
        val change = put(event.item)
        raise(event.span, event.item.version)
        return listOfNotNull(change)
    }

    private fun listed(event: ObjectEvent.Listed): List<ObjectChange> {
        val puts = event.items.mapNotNull(::put)
        val names = event.items.groupBy({ it.key.kind }, { it.key.name })
        val deletions =
            event.kinds.flatMap { kind ->
                val present = names[kind].orEmpty().toSet()
                caches[kind]?.deleteMissing(present, event.revision).orEmpty()
            }
        event.kinds.forEach { caches[it]?.raise(event.revision) }
        return puts + deletions
    }

    private fun put(item: StoredObject): ObjectChange? = caches[item.key.kind]?.apply(item)

    /** A watch proves completeness only if it started no later than the complete revision. */
    private fun raise(
        span: WatchSpan,
        revision: Revision,
    ) {
        span.kinds
            .mapNotNull { caches[it] }
            .filter { span.from <= it.known }
            .forEach { it.raise(revision) }
    }

    /** A peer with the same live objects knows of no other object up to its complete revision. */
    private fun confirm(digest: CacheDigest) {
        caches.forEach { (kind, cache) ->
            val other = digest.of(kind)
            if (other != null && cache.matches(other)) cache.raise(other.known)
        }
    }

    private fun confirm(event: ObjectEvent.PeerConfirmed) {
        if (event.contentHash == contentHash) caches.values.forEach { it.raise(event.revision) }
    }

    private inline fun nothing(step: () -> Unit): List<ObjectChange> {
        step()
        return emptyList()
    }

    private companion object {
        /** An odd multiplier, so that equal content under different kinds gives different hashes. */
        private const val HASH_FACTOR = -0x61c8864680b583ebL
    }
}
