package oriolespindle.core.placement

import oriolespindle.core.id.LayerRange

/** Counts the holders of each layer in one zone and finds the range that the next holder should load. */
internal class Coverage(
    private val layers: Int,
) {
    private val ranges = ArrayList<LayerRange>()
    private val holders = IntArray(layers)

    /** For each layer, the number of layers of its smallest holder, which are lost together with that holder. */
    private val smallestHolderSize = IntArray(layers)

    val hasUncoveredLayer: Boolean get() = holders.any { it == 0 }

    fun add(range: LayerRange) {
        ranges += range
        recount()
    }

    fun remove(range: LayerRange) {
        ranges -= range
        recount()
    }

    /** Returns whether all layers of [range], which one holder has, have another holder as well. */
    fun isCoveredWithout(range: LayerRange): Boolean = (range.first until range.end).all { holders[it] > 1 }

    /**
     * Returns the range of [count] layers with the largest gain; the lowest one if there are several.
     *
     * Only ranges that start or end at a boundary of another range are considered, so that there are few boundaries and
     * paths stay short.
     */
    fun bestRange(count: Int): LayerRange {
        val last = layers - count
        val edges = ranges.flatMap { listOf(it.first, it.end, it.first - count, it.end - count) }
        val starts = (edges + 0 + last).filter { it in 0..last }.distinct().sorted()
        val start = starts.maxBy { first -> (first until first + count).sumOf(::gain) }
        return LayerRange(start, start + count)
    }

    private fun gain(layer: Int): Double =
        when (holders[layer]) {
            0 -> UNCOVERED_GAIN
            1 -> SINGLE_HOLDER_GAIN + smallestHolderSize[layer].toDouble() / layers
            else -> 1.0 / holders[layer] / layers
        }

    private fun recount() {
        holders.fill(0)
        smallestHolderSize.fill(layers)
        for (range in ranges) {
            for (layer in range.first until minOf(range.end, layers)) {
                holders[layer]++
                smallestHolderSize[layer] = minOf(smallestHolderSize[layer], range.size)
            }
        }
    }

    private companion object {
        /** A layer without holders stops the zone, so it outweighs any number of second holders in one range. */
        const val UNCOVERED_GAIN = 1_000.0
        const val SINGLE_HOLDER_GAIN = 1.0
    }
}
