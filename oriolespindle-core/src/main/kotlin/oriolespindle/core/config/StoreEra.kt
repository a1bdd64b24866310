package oriolespindle.core.config

/**
 * A period in which a platform's store has kept everything that it acknowledged.
 *
 * A store that is restored from a copy begins the next era: it has lost its latest writes, and gives out their
 * revisions again for others.
 */
@JvmInline
public value class StoreEra(
    public val value: Long,
) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The only era of a platform whose store loses nothing. */
        public val NONE: StoreEra = StoreEra(0)
    }
}
