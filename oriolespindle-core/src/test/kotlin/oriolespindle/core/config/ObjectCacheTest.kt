package oriolespindle.core.config

import org.junit.jupiter.api.Test
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random

/** Guards against an accepted change that is reverted and against a deleted object that reappears. */
class ObjectCacheTest {
    private val now = Timestamp.ZERO
    private val kind = ObjectKind.CONTRACT
    private val key = ObjectKey(kind, "team-a")

    private fun cache() = ObjectCache(setOf(kind))

    private fun item(
        version: Long,
        name: String = "team-a",
    ) = StoredObject(ObjectKey(kind, name), Revision(version), """{"weight":$version}""")

    @Test
    fun `guards against reverting to an older version when events from all sources arrive in any order`() {
        repeat(200) { seed ->
            val history = StoreHistory(seed, objects = 12, length = 60)
            val random = Random(seed)
            val cache = cache()
            var highest = emptyMap<String, Revision>()

            repeat(150) {
                cache.apply(now, randomEvent(random, history, cache))

                val versions =
                    history.writes.map { it.key }.mapNotNull(cache::get).associate {
                        it.key.name to
                            it.version
                    }
                expectThat(highest.all { (name, version) -> versions.getValue(name) >= version }).isTrue()
                expectAtLeastStoreAt(cache.revision, cache, history)
                highest = versions
            }
            cache.apply(now, history.listAt(history.length.toLong()))

            expectThat(cache.live(kind).associateBy { it.key.name }).isEqualTo(history.liveAt(history.length.toLong()))
        }
    }

    @Test
    fun `guards against keeping an object that a newer list lacks`() {
        val cache = cache()
        cache.apply(now, ObjectEvent.Read(item(5)))

        val changes = cache.apply(now, ObjectEvent.Listed(setOf(kind), Revision(9), emptyList()))

        expectThat(changes).containsExactly(ObjectChange(item(5), StoredObject.tombstone(key, Revision(9))))
        expectThat(cache.apply(now, ObjectEvent.FromPeer(listOf(item(8))))).isEmpty()
    }

    @Test
    fun `guards against deleting an object that is newer than the list`() {
        val cache = cache()
        cache.apply(now, ObjectEvent.Read(item(10)))

        expectThat(cache.apply(now, ObjectEvent.Listed(setOf(kind), Revision(9), emptyList()))).isEmpty()
        expectThat(cache.get(key)).isEqualTo(item(10))
    }

    @Test
    fun `guards against a stale peer restoring an object whose deletion this instance never saw`() {
        val cache = cache()
        cache.apply(now, ObjectEvent.Listed(setOf(kind), Revision(9), emptyList()))

        expectThat(cache.apply(now, ObjectEvent.FromPeer(listOf(item(5))))).isEmpty()
        expectThat(cache.live(kind)).isEmpty()
        expectThat(cache.get(key)).isEqualTo(StoredObject.tombstone(key, Revision(9)))
    }

    @Test
    fun `guards against trusting a watch that started after a gap`() {
        val cache = cache()
        cache.apply(now, ObjectEvent.Listed(setOf(kind), Revision(3), emptyList()))

        cache.apply(now, ObjectEvent.WatchIdle(WatchScope(setOf(kind), Revision(7)), Revision(9)))
        expectThat(cache.revision).isEqualTo(Revision(3))

        cache.apply(now, ObjectEvent.WatchIdle(WatchScope(setOf(kind), Revision(2)), Revision(9)))
        expectThat(cache.revision).isEqualTo(Revision(9))
    }

    @Test
    fun `guards against peers that stay different after a partition or an outage of the platform`() {
        val history = StoreHistory(seed = 7, objects = 500, length = 3_000)
        val current = cache().apply { apply(now, history.listAt(3_000)) }
        val started = cache()
        val stale = cache().apply { apply(now, history.listAt(2_400)) }
        val peers = listOf(current, started, stale)

        val rounds = (1..10).first { exchange(peers).all { it.contentHash == current.contentHash } }

        expectThat(rounds).isLessThan(4)
        expectThat(peers.map { it.revision }.distinct()).hasSize(1)
        expectThat(stale.live(kind).associateBy { it.key.name }).isEqualTo(history.liveAt(3_000))
    }

    @Test
    fun `guards against sending all objects of a kind when one object differs`() {
        val history = StoreHistory(seed = 8, objects = 2_000, length = 10_000)
        val behind = cache().apply { apply(now, history.listAt(9_999)) }
        val current = cache().apply { apply(now, history.listAt(9_999)) }
        current.apply(now, ObjectEvent.Watched(WatchScope(setOf(kind), Revision(9_999)), history.writes.last()))

        expectThat(current.difference(behind.digest())).containsExactly(history.writes.last())
    }

    private fun exchange(peers: List<ObjectCache>): List<ObjectCache> {
        for (from in peers) {
            for (to in peers - from) {
                to.apply(now, ObjectEvent.FromPeer(from.difference(to.digest(detailed = true))))
                to.apply(now, ObjectEvent.PeerDigest(from.digest()))
            }
        }
        return peers
    }

    private fun randomEvent(
        random: Random,
        history: StoreHistory,
        cache: ObjectCache,
    ): ObjectEvent {
        val revision = random.nextLong(1, history.length + 1L)
        val write = history.writes[revision.toInt() - 1]
        return when (random.nextInt(6)) {
            0 -> {
                history.listAt(revision)
            }

            1 -> {
                ObjectEvent.FromPeer(history.writes.shuffled(random).take(3))
            }

            2 -> {
                ObjectEvent.Watched(WatchScope(setOf(kind), Revision(revision - 1)), write)
            }

            3 -> {
                ObjectEvent.PeerDigest(cache().also { it.apply(now, history.listAt(revision)) }.digest())
            }

            4 -> {
                ObjectEvent.FromPeer(
                    cache()
                        .also {
                            it.apply(
                                now,
                                history.listAt(revision),
                            )
                        }.difference(cache.digest(random.nextBoolean())),
                )
            }

            else -> {
                ObjectEvent.Read(write)
            }
        }
    }

    /** Expects that every object in the cache is at least as new as in the store at the complete revision. */
    private fun expectAtLeastStoreAt(
        revision: Revision,
        cache: ObjectCache,
        history: StoreHistory,
    ) {
        val store = history.liveAt(revision.value)
        val held = cache.live(kind).associateBy { it.key.name }
        val missing = store.values.filter { (cache.get(it.key)?.version ?: Revision.NONE) < it.version }
        val revived = held.values.filter { it.key.name !in store && it.version <= revision }
        expectThat(missing).isEmpty()
        expectThat(revived).isEmpty()
    }
}
