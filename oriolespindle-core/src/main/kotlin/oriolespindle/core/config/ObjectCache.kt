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
    public val revision: Revision get() = caches.values.minOfOrNull { it.completeRevision } ?: Revision.NONE

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
            is ObjectEvent.Watched -> onWatched(event)
            is ObjectEvent.WatchIdle -> withoutChanges { advanceFromWatch(event.scope, event.revision) }
            is ObjectEvent.Listed -> onListed(event)
            is ObjectEvent.FromPeer -> event.items.mapNotNull(::put)
            is ObjectEvent.PeerDigest -> withoutChanges { onPeerDigest(event.digest) }
            is ObjectEvent.PeerConfirmed -> withoutChanges { onPeerConfirmed(event) }
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
            val other = digest.of(kind)?.takeIf { KindCache.isValidBucketCount(it.buckets.size) }
            cache.difference(other)
        }

    private fun onWatched(event: ObjectEvent.Watched): List<ObjectChange> {
        val change = put(event.item)
        advanceFromWatch(event.scope, event.item.version)
        return listOfNotNull(change)
    }

    private fun onListed(event: ObjectEvent.Listed): List<ObjectChange> {
        val puts = event.items.mapNotNull(::put)
        val names = event.items.groupBy({ it.key.kind }, { it.key.name })
        val deletions =
            event.kinds.flatMap { kind ->
                val present = names[kind].orEmpty().toSet()
                caches[kind]?.deleteMissing(present, event.revision).orEmpty()
            }
        event.kinds.forEach { caches[it]?.advanceTo(event.revision) }
        return puts + deletions
    }

    private fun put(item: StoredObject): ObjectChange? = caches[item.key.kind]?.apply(item)

    /** A watch proves completeness only if it started no later than the complete revision. */
    private fun advanceFromWatch(
        scope: WatchScope,
        revision: Revision,
    ) {
        scope.kinds
            .mapNotNull { caches[it] }
            .filter { scope.from <= it.completeRevision }
            .forEach { it.advanceTo(revision) }
    }

    /** A peer with the same live objects knows of no other object up to its complete revision. */
    private fun onPeerDigest(digest: CacheDigest) {
        caches.forEach { (kind, cache) ->
            val other = digest.of(kind)
            if (other != null && cache.matches(other)) cache.advanceTo(other.known)
        }
    }

    private fun onPeerConfirmed(event: ObjectEvent.PeerConfirmed) {
        if (event.contentHash == contentHash) caches.values.forEach { it.advanceTo(event.revision) }
    }

    private inline fun withoutChanges(step: () -> Unit): List<ObjectChange> {
        step()
        return emptyList()
    }

    private companion object {
        /** An odd multiplier, so that equal content under different kinds gives different hashes. */
        private const val HASH_FACTOR = -0x61c8864680b583ebL
    }
}
