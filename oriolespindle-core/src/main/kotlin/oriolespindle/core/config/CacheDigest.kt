package oriolespindle.core.config

import kotlinx.serialization.Serializable

/**
 * A short description of the live objects of one kind.
 *
 * The number of [buckets] is a power of two; each is the sum of the hashes of the objects in it. Every object of a
 * version up to [known] is covered: one that is missing is deleted.
 */
@Serializable
public data class KindDigest(
    public val kind: ObjectKind,
    public val known: Revision,
    public val buckets: List<Long>,
)

/** A description of the live objects of a cache that is short enough to send to a peer. */
@Serializable
public data class CacheDigest(
    public val kinds: List<KindDigest>,
) {
    /** Returns the digest of [kind], or null when the sender keeps no objects of this kind. */
    public fun of(kind: ObjectKind): KindDigest? = kinds.firstOrNull { it.kind == kind }
}
