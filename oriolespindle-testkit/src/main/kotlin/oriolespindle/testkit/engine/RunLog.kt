package oriolespindle.testkit.engine

import oriolespindle.core.id.LayerRange

/** Runs of older requests are forgotten, so that a long load run fits in the memory of a small process. */
private const val KEPT_ATTEMPTS = 20_000

/** Which layers ran for which positions. */
internal class RunLog {
    private data class Key(
        val request: String,
        val attempt: Int,
        val layers: LayerRange,
    )

    private val runs =
        object : LinkedHashMap<Key, MutableList<Int>>() {
            override fun removeEldestEntry(eldest: Map.Entry<Key, MutableList<Int>>): Boolean = size > KEPT_ATTEMPTS
        }

    @Synchronized
    fun add(
        request: String,
        attempt: Int,
        layers: LayerRange,
        position: Int,
    ) {
        runs.getOrPut(Key(request, attempt, layers)) { mutableListOf() } += position
    }

    @Synchronized
    fun all(): List<EngineRun> =
        runs.map { (key, positions) ->
            EngineRun(key.request, key.attempt, key.layers.first, key.layers.end, positions.toList())
        }
}
