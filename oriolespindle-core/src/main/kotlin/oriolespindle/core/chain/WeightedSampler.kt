package oriolespindle.core.chain

import java.util.random.RandomGenerator

/** Samples indices with probabilities proportional to [weights]; an index of weight 0 is never sampled. */
internal class WeightedSampler(
    weights: DoubleArray,
) {
    private val indices = weights.indices.filter { weights[it] > 0 }.toIntArray()
    private val cumulativeWeights = DoubleArray(indices.size)

    init {
        var sum = 0.0
        for (i in indices.indices) {
            sum += weights[indices[i]]
            cumulativeWeights[i] = sum
        }
    }

    val isEmpty: Boolean get() = indices.isEmpty()

    fun sample(random: RandomGenerator): Int {
        val match = cumulativeWeights.binarySearch(random.nextDouble() * cumulativeWeights.last())
        val position = if (match >= 0) match + 1 else -match - 1
        return indices[minOf(position, indices.lastIndex)]
    }
}

/** A map that evicts its oldest entry when its size exceeds [capacity]. */
internal class BoundedMap<K, V>(
    private val capacity: Int,
) : LinkedHashMap<K, V>() {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > capacity
}
