package oriolespindle.core.config

import kotlinx.serialization.Serializable

/**
 * One version of an object.
 *
 * [value] is JSON text, or null for a tombstone, which records that the object is deleted at [version].
 */
@Serializable
public data class StoredObject(
    public val key: ObjectKey,
    public val version: Revision,
    public val value: String?,
) {
    /** Whether this version is a tombstone. */
    public val deleted: Boolean get() = value == null

    public companion object {
        /** Returns the tombstone of [key] at [version]. */
        public fun tombstone(
            key: ObjectKey,
            version: Revision,
        ): StoredObject = StoredObject(key, version, null)
    }
}
