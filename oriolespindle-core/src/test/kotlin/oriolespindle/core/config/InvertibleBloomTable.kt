package oriolespindle.core.config

import com.dynatrace.hash4j.hashing.Hashing

/** An item of a set to be reconciled: the hash of an object's name, and its version. */
internal data class SetItem(
    val name: Long,
    val version: Long,
)

/**
 * An invertible Bloom lookup table (PAPER-invertible-bloom-lookup-table-e8e2), for comparison only.
 *
 * Each item is added to [HASHES] cells, one in each part of the table. A cell holds the number of its items, the
 * exclusive or of their data and the exclusive or of their check hashes.
 */
internal class InvertibleBloomTable(
    val cells: Int,
) {
    private val part = cells / HASHES
    private val counts = IntArray(cells)
    private val names = LongArray(cells)
    private val versions = LongArray(cells)
    private val checks = IntArray(cells)

    /** The encoded size: each cell takes 2 bytes for the count, 16 for the data and 4 for the check hash. */
    val bytes: Int get() = cells * 22

    fun add(item: SetItem) = update(item, 1)

    fun subtract(other: InvertibleBloomTable) {
        for (cell in 0 until cells) {
            counts[cell] -= other.counts[cell]
            names[cell] = names[cell] xor other.names[cell]
            versions[cell] = versions[cell] xor other.versions[cell]
            checks[cell] = checks[cell] xor other.checks[cell]
        }
    }

    /** Returns the items only in this table and those only in the subtracted one, or null if decoding fails. */
    fun decode(): Pair<Set<SetItem>, Set<SetItem>>? {
        val here = HashSet<SetItem>()
        val there = HashSet<SetItem>()
        val queue = ArrayDeque((0 until cells).filter(::pure))
        while (queue.isNotEmpty()) {
            val cell = queue.removeFirst()
            if (!pure(cell)) continue
            val item = SetItem(names[cell], versions[cell])
            val sign = counts[cell]
            if (sign > 0) here += item else there += item
            update(item, -sign)
            queue += indexes(item).filter(::pure)
        }
        val empty = counts.all { it == 0 } && names.all { it == 0L } && checks.all { it == 0 }
        return if (empty) here to there else null
    }

    /** Returns whether [cell] holds a single item: its check hash matches and the item maps to this cell. */
    private fun pure(cell: Int): Boolean {
        if (counts[cell] != 1 && counts[cell] != -1) return false
        val item = SetItem(names[cell], versions[cell])
        return checks[cell] == check(item) && cell in indexes(item)
    }

    private fun update(
        item: SetItem,
        count: Int,
    ) {
        indexes(item).forEach { cell ->
            counts[cell] += count
            names[cell] = names[cell] xor item.name
            versions[cell] = versions[cell] xor item.version
            checks[cell] = checks[cell] xor check(item)
        }
    }

    private fun indexes(item: SetItem): List<Int> =
        List(HASHES) { hash ->
            val value = HASHER.hashLongLongLongToLong(item.name, item.version, hash.toLong())
            hash * part + (value ushr 1).mod(part.toLong()).toInt()
        }

    private fun check(item: SetItem): Int = HASHER.hashLongLongLongToLong(item.name, item.version, -1).toInt()

    companion object {
        const val HASHES = 4
        private val HASHER = Hashing.wyhashFinal4()

        fun of(
            items: Collection<SetItem>,
            cells: Int,
        ) = InvertibleBloomTable(cells / HASHES * HASHES).also { table -> items.forEach(table::add) }
    }
}
