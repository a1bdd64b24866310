package oriolespindle.core.id

import kotlinx.serialization.Serializable

/**
 * A non-empty range of model layers, from [first] (inclusive) to [end] (exclusive).
 *
 * @throws IllegalArgumentException if [first] is negative or [end] is not greater than [first].
 */
@Serializable
public data class LayerRange(
    public val first: Int,
    public val end: Int,
) {
    init {
        require(first >= 0) { "first layer is $first, must not be negative" }
        require(end > first) { "layer range [$first, $end) is empty" }
    }

    /** The number of layers. */
    public val size: Int get() = end - first

    /** Returns whether every layer of [other] is in this range. */
    public operator fun contains(other: LayerRange): Boolean = first <= other.first && other.end <= end

    override fun toString(): String = "[$first, $end)"
}
