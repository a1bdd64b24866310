package oriolespindle.core.config

import kotlinx.serialization.Serializable

/**
 * A revision of the platform's store.
 *
 * Revisions increase across the whole store; the version of an object is the revision of its last write.
 */
@Serializable
@JvmInline
public value class Revision(
    public val value: Long,
) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The revision before the first write. */
        public val NONE: Revision = Revision(0)
    }
}
