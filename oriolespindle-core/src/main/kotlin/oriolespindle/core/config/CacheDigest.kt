package oriolespindle.core.config

import kotlinx.serialization.Serializable

/**
 * A compact summary of the live objects of one kind, for comparison with a peer.
 *
 * The number of [buckets] is a power of two, and each bucket is the sum of the hashes of its objects. The sender has
 * applied every change up to revision [known], so an object with a version up to [known] that it does not hold has been
 * deleted.
 */
@Serializable
public data class KindDigest(
    public val kind: ObjectKind,
    public val known: Revision,
    public val buckets: List<Long>,
)

/** A compact summary of the live objects of a cache, sent to peers to find differences. */
@Serializable
public data class CacheDigest(
    public val kinds: List<KindDigest>,
) {
    /** Returns the digest of [kind], or null if the sender does not cache objects of this kind. */
    public fun of(kind: ObjectKind): KindDigest? = kinds.firstOrNull { it.kind == kind }
}
