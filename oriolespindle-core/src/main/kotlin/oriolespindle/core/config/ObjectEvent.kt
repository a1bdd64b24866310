package oriolespindle.core.config

/** The kinds that one watch covers and the revision [from] which it started. */
public data class WatchScope(
    public val kinds: Set<ObjectKind>,
    public val from: Revision,
)

/** An observation of stored objects from any source; observations may arrive in any order. */
public sealed interface ObjectEvent {
    /** A line of the watch [scope]; the store delivers the lines of a watch in the order of revisions. */
    public data class Watched(
        public val scope: WatchScope,
        public val item: StoredObject,
    ) : ObjectEvent

    /** The watch [scope] has delivered every change up to [revision]. */
    public data class WatchIdle(
        public val scope: WatchScope,
        public val revision: Revision,
    ) : ObjectEvent

    /** All objects of [kinds] at [revision]. */
    public data class Listed(
        public val kinds: Set<ObjectKind>,
        public val revision: Revision,
        public val items: List<StoredObject>,
    ) : ObjectEvent

    /** Objects that a peer sent; they may be outdated. */
    public data class FromPeer(
        public val items: List<StoredObject>,
    ) : ObjectEvent

    /** The digest of a peer, which advances the complete revision if the contents are equal. */
    public data class PeerDigest(
        public val digest: CacheDigest,
    ) : ObjectEvent

    /** A peer whose live objects hash to [contentHash] has every change up to [revision] in force. */
    public data class PeerConfirmed(
        public val revision: Revision,
        public val contentHash: Long,
    ) : ObjectEvent

    /** The answer to a read of one object; it may be outdated. */
    public data class Read(
        public val item: StoredObject,
    ) : ObjectEvent
}

/** A change of an object in force; [before] is null if the object was unknown. */
public data class ObjectChange(
    public val before: StoredObject?,
    public val after: StoredObject,
) {
    /** The object that changed. */
    public val key: ObjectKey get() = after.key
}
