package oriolespindle.core.config

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Test
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.random.Random

/** Guards against keeping the more expensive of two ways to find the objects that a rejoining peer lacks. */
@OptIn(ExperimentalSerializationApi::class)
class ReconciliationTest {
    private val kind = ObjectKind.CONTRACT
    private val now = Timestamp.ZERO
    private val cbor = Cbor { useDefiniteLengthEncoding = true }
    private val hasher = Hashing.wyhashFinal4()
    private val objects = 10_000
    private val objectBytes = 1_000

    private class CachePair(
        val behind: ObjectCache,
        val current: ObjectCache,
        val changed: Set<String>,
    )

    private class Cost(
        val bytes: Long,
        val excess: Int,
        val micros: Long,
    ) {
        override fun toString(): String = "%,d B, %,d objects in excess, %,d us".format(bytes, excess, micros)
    }

    private fun put(
        name: String,
        version: Long,
    ) = StoredObject(ObjectKey(kind, name), Revision(version), "{}")

    /** Returns a cache with every change up to revision 10,000 and one that also has [differences] later ones. */
    private fun pair(
        differences: Int,
        seed: Int,
    ): CachePair {
        val base = (1..objects).map { put("team-$it", it.toLong()) }
        val names = base.map { it.key.name }.shuffled(Random(seed)).take(differences)
        val later = names.mapIndexed { index, name -> put(name, objects + 1L + index) }
        val list = ObjectEvent.Listed(setOf(kind), Revision(objects.toLong()), base)
        val behind = ObjectCache(setOf(kind)).apply { apply(now, list) }
        val current = ObjectCache(setOf(kind)).apply { apply(now, list) }
        current.apply(now, ObjectEvent.FromPeer(later))
        return CachePair(behind, current, names.toSet())
    }

    private fun items(cache: ObjectCache): List<SetItem> =
        cache.live(kind).map { SetItem(hasher.hashCharsToLong(it.key.name), it.version.value) }

    /** Runs [find] several times and takes the shortest time, which is the least affected by other load. */
    private fun measure(
        pair: CachePair,
        find: (CachePair) -> kotlin.Pair<Int, Set<String>>,
    ): Cost {
        var best = Long.MAX_VALUE
        var result = 0 to emptySet<String>()
        repeat(15) {
            val started = System.nanoTime()
            result = find(pair)
            best = minOf(best, System.nanoTime() - started)
        }
        expectThat(result.second.containsAll(pair.changed)).isEqualTo(true)
        return Cost(result.first.toLong(), result.second.size - pair.changed.size, best / 1_000)
    }

    private fun digest(
        pair: CachePair,
        known: Boolean,
        detailed: Boolean,
    ): kotlin.Pair<Int, Set<String>> {
        val digest = pair.behind.digest(detailed)
        val sent = if (known) digest else CacheDigest(digest.kinds.map { it.copy(known = Revision.NONE) })
        return cbor.encodeToByteArray(sent).size to
            pair.current
                .difference(sent)
                .map { it.key.name }
                .toSet()
    }

    /** Doubles the table until it decodes, as a peer that does not know the number of differences must do. */
    private fun table(
        pair: CachePair,
        cells: Int,
    ): kotlin.Pair<Int, Set<String>> {
        var size = cells
        var bytes = 0
        while (true) {
            val behind = InvertibleBloomTable.of(items(pair.behind), size)
            val current = InvertibleBloomTable.of(items(pair.current), size)
            bytes += behind.bytes
            current.subtract(behind)
            val decoded = current.decode()
            if (decoded != null) {
                val names = pair.current.live(kind).associate { hasher.hashCharsToLong(it.key.name) to it.key.name }
                return bytes to decoded.first.map { names.getValue(it.name) }.toSet()
            }
            size *= 2
        }
    }

    @Test
    fun `guards against keeping the more expensive of version numbers and invertible Bloom lookup tables`() {
        for (differences in listOf(10, 100, 1_000)) {
            val pair = pair(differences, seed = differences)
            // A changed object is one item on each side, two in all; 1.5 cells per item almost always decode.
            val summary = measure(pair) { digest(it, known = true, detailed = false) }
            val tableKnown = measure(pair) { table(it, cells = maxOf(60, differences * 3)) }
            val tableUnknown = measure(pair) { table(it, cells = 64) }
            println(
                "reconciliation, $differences of $objects objects, ${"%,d".format(
                    differences * objectBytes,
                )} B to transfer:",
            )
            println("  revision and one hash: $summary")
            println("  revision and hash buckets: ${measure(pair) { digest(it, known = true, detailed = true) }}")
            println("  hash buckets alone: ${measure(pair) { digest(it, known = false, detailed = true) }}")
            println("  lookup table, number of differences known: $tableKnown")
            println("  lookup table, doubled from 64 cells: $tableUnknown")

            expectThat(summary.excess).isEqualTo(0)
            expectThat(summary.bytes).isLessThan(tableKnown.bytes)
        }
    }

    @Test
    fun `guards against comparing with a lookup table that decodes to wrong items`() {
        var decoded = 0
        repeat(100) { seed ->
            val pair = pair(100, seed)
            val current = InvertibleBloomTable.of(items(pair.current), 300)
            current.subtract(InvertibleBloomTable.of(items(pair.behind), 300))
            val result = current.decode() ?: return@repeat
            decoded++
            expectThat(result.first).isEqualTo(items(pair.current).toSet() - items(pair.behind).toSet())
            expectThat(result.second).isEqualTo(items(pair.behind).toSet() - items(pair.current).toSet())
        }
        println("reconciliation, lookup table with 1.5 cells for an item: $decoded of 100 decoded")
    }
}
