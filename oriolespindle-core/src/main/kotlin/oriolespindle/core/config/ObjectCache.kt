package oriolespindle.core.config

import oriolespindle.core.time.Timestamp

/**
 * The configuration in force at one instance.
 *
 * Events from a watch, lists, peers and reads may arrive in any order. The cache keeps the highest version of each
 * object, including tombstones, so that a late event cannot revert a newer state. Objects whose kind is not in [kinds]
 * are ignored.
 */
public class ObjectCache(
    private val kinds: Set<ObjectKind> = ObjectKind.CACHED,
) {
    private val caches: Map<ObjectKind, KindCache> = kinds.sorted().associateWith { KindCache(it) }

    /**
     * The revision up to which the changes of all kinds are in force at this instance.
     *
     * It is [Revision.NONE] until a list, or a peer with the same content, confirms that the cache is complete.
     */
    public val revision: Revision get() = caches.values.minOfOrNull { it.completeRevision } ?: Revision.NONE

    /** The hash of all live objects; caches with equal hashes hold the same configuration. */
    public val contentHash: Long
        get() = caches.values.fold(0L) { hash, cache -> hash * HASH_FACTOR + cache.contentHash }

    /** Applies [event] and returns the changes of the configuration in force. */
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

    /** Returns the highest known version of [key], which may be a tombstone, or null if none is known. */
    public fun get(key: ObjectKey): StoredObject? = caches[key.kind]?.get(key.name)

    /** Returns the live objects of [kind]. */
    public fun live(kind: ObjectKind): List<StoredObject> = caches[kind]?.live().orEmpty()

    /**
     * Returns the digest of the live objects, which peers compare with their own.
     *
     * One hash and the complete revision of each kind are enough for a peer that only lacks recent changes. A
     * [detailed] digest has one hash for about eight objects.
     */
    public fun digest(detailed: Boolean = false): CacheDigest = CacheDigest(caches.values.map { it.digest(detailed) })

    /** Returns whether [digest] describes the same live objects. */
    public fun matches(digest: CacheDigest): Boolean =
        caches.all { (kind, cache) -> digest.of(kind)?.let(cache::matches) ?: cache.live().isEmpty() }

    /**
     * Returns the objects that the sender of [digest] may lack, including tombstones.
     *
     * These are the objects newer than the sender's complete revision. If there are none and the digest is detailed,
     * all objects of the differing buckets are returned, so that the sender can answer which of them are deleted.
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

    /** A watch extends the complete revision only if it started at or before it; otherwise changes may be missing. */
    private fun advanceFromWatch(
        scope: WatchScope,
        revision: Revision,
    ) {
        scope.kinds
            .mapNotNull { caches[it] }
            .filter { scope.from <= it.completeRevision }
            .forEach { it.advanceTo(revision) }
    }

    /** A peer with the same live objects proves that none is missing up to the peer's complete revision. */
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
        /** An odd multiplier, so that equal content of different kinds yields different hashes. */
        private const val HASH_FACTOR = -0x61c8864680b583ebL
    }
}
