package oriolespindle.core.config

/** The kinds that one watch covers and the revision that it started [from]. */
public data class WatchScope(
    public val kinds: Set<ObjectKind>,
    public val from: Revision,
)

/** Something learned about objects, in any order and from any source. */
public sealed interface ObjectEvent {
    /** A line of the watch [scope]; the store delivers a watch in the order of revisions. */
    public data class Watched(
        public val scope: WatchScope,
        public val item: StoredObject,
    ) : ObjectEvent

    /** The watch [scope] has delivered every change up to [revision]. */
    public data class WatchIdle(
        public val scope: WatchScope,
        public val revision: Revision,
    ) : ObjectEvent

    /** All objects of [kinds] as they were at [revision]. */
    public data class Listed(
        public val kinds: Set<ObjectKind>,
        public val revision: Revision,
        public val items: List<StoredObject>,
    ) : ObjectEvent

    /** Objects that a peer sent; they may be old. */
    public data class FromPeer(
        public val items: List<StoredObject>,
    ) : ObjectEvent

    /** The digest of a peer, which raises the revision in force when the contents are equal. */
    public data class PeerDigest(
        public val digest: CacheDigest,
    ) : ObjectEvent

    /** A peer whose live objects have [contentHash] has every change up to [revision] in force. */
    public data class PeerConfirmed(
        public val revision: Revision,
        public val contentHash: Long,
    ) : ObjectEvent

    /** The answer to a read of one object; it may be old. */
    public data class Read(
        public val item: StoredObject,
    ) : ObjectEvent
}

/** An object whose content in force changed; [before] is null when the object was not known. */
public data class ObjectChange(
    public val before: StoredObject?,
    public val after: StoredObject,
) {
    /** The object that changed. */
    public val key: ObjectKey get() = after.key
}
