package oriolespindle.core.chain

import java.util.random.RandomGenerator

/** Samples indices in proportion to [weights]; indices of weight 0 are never sampled. */
internal class WeightedSampler(
    weights: DoubleArray,
) {
    private val indices = weights.indices.filter { weights[it] > 0 }.toIntArray()
    private val sums = DoubleArray(indices.size)

    init {
        var sum = 0.0
        for (i in indices.indices) {
            sum += weights[indices[i]]
            sums[i] = sum
        }
    }

    val isEmpty: Boolean get() = indices.isEmpty()

    fun sample(random: RandomGenerator): Int {
        val found = sums.binarySearch(random.nextDouble() * sums.last())
        val place = if (found >= 0) found + 1 else -found - 1
        return indices[minOf(place, indices.lastIndex)]
    }
}

/** A map that forgets its oldest entry beyond [capacity]. */
internal class BoundedMap<K, V>(
    private val capacity: Int,
) : LinkedHashMap<K, V>() {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > capacity
}
