package oriolespindle.core.crash

private const val INITIAL_CAPACITY = 64
private const val LOAD_FACTOR = 0.75f

/** A map that drops the least recently used entry when it has more than [maxSize] entries. */
public class RecentlyUsedMap<K, V>(
    private val maxSize: Int,
) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > maxSize
}
