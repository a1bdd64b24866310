package oriolespindle.testkit.engine

import oriolespindle.core.id.LayerRange

/** The runs of the oldest attempts are forgotten beyond this, which takes about 25 MB of a 128 MB process. */
private const val KEPT_POSITIONS = 1_000_000

/** Which layers ran for which positions. */
internal class RunLog(
    private val keptPositions: Int = KEPT_POSITIONS,
) {
    private data class Key(
        val request: String,
        val attempt: Int,
        val layers: LayerRange,
    )

    private val runs = LinkedHashMap<Key, MutableList<Int>>()
    private var positions = 0

    @Synchronized
    fun add(
        request: String,
        attempt: Int,
        layers: LayerRange,
        position: Int,
    ) {
        runs.getOrPut(Key(request, attempt, layers)) { mutableListOf() } += position
        positions++
        while (positions > keptPositions && runs.size > 1) forgetOldest()
    }

    @Synchronized
    fun all(): List<EngineRun> =
        runs.map { (key, positions) ->
            EngineRun(key.request, key.attempt, key.layers.first, key.layers.end, positions.toList())
        }

    private fun forgetOldest() {
        val oldest = runs.entries.iterator()
        positions -= oldest.next().value.size
        oldest.remove()
    }
}
