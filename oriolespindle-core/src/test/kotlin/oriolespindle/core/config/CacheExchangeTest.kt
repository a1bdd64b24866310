package oriolespindle.core.config

import org.junit.jupiter.api.Test
import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

/** Guards against peers that exchange digests without converging, or that send all objects of a kind. */
class CacheExchangeTest {
    private class Peer(
        val id: InstanceId,
        val cache: ObjectCache,
    ) {
        val exchange = CacheExchange(cache)
        var objectsSent = 0
    }

    private val kind = ObjectKind.CONTRACT

    private fun item(
        number: Int,
        version: Long,
    ) = StoredObject(ObjectKey(kind, "team-$number"), Revision(version), "{}")

    private fun peer(
        name: String,
        revision: Long,
        items: List<StoredObject>,
    ): Peer {
        val cache = ObjectCache(setOf(kind))
        cache.apply(Timestamp.ZERO, ObjectEvent.Listed(setOf(kind), Revision(revision), items))
        return Peer(InstanceId(name), cache)
    }

    /** Delivers a heartbeat of [from] to [to] and every message that results from it. */
    private fun heartbeat(
        now: Timestamp,
        from: Peer,
        to: Peer,
    ) {
        val actions = to.exchange.onHeartbeat(now, from.id, from.cache.revision, from.cache.contentHash)
        val queue = ArrayDeque(actions.map { to to it })
        while (queue.isNotEmpty()) {
            val (sender, action) = queue.removeFirst()
            val receiver = if (sender === from) to else from
            when (action) {
                is ExchangeAction.Forward -> {
                    Unit
                }

                is ExchangeAction.SendObjects -> {
                    sender.objectsSent += action.items.size
                    receiver.cache.apply(now, ObjectEvent.FromPeer(action.items))
                }

                is ExchangeAction.SendDigest -> {
                    queue += receiver.exchange.onDigest(now, sender.id, action.digest).map { receiver to it }
                }
            }
        }
    }

    @Test
    fun `guards against a deletion that neither side can send because its tombstone is lost`() {
        val items = (1..500).map { item(it, it.toLong()) }
        val stale = peer("stale", revision = 500, items)
        val fresh = peer("fresh", revision = 900, items.drop(1))
        (1..4).forEach { heartbeat(Timestamp.ZERO + it.seconds, from = stale, to = fresh) }

        expectThat(stale.cache.live(kind).filter { it == items.first() }).isEmpty()
        expectThat(stale.cache.contentHash).isEqualTo(fresh.cache.contentHash)
        expectThat(stale.objectsSent + fresh.objectsSent).isLessThanOrEqualTo(40)
    }

    @Test
    fun `guards against sending more than the newer objects to a peer that only lacks recent changes`() {
        val items = (1..500).map { item(it, it.toLong()) }
        val behind = peer("behind", revision = 500, items)
        val current = peer("current", revision = 500, items)
        current.cache.apply(Timestamp.ZERO, ObjectEvent.FromPeer((1..20).map { item(it, 500L + it) }))
        (1..2).forEach { heartbeat(Timestamp.ZERO + it.seconds, from = current, to = behind) }

        expectThat(behind.cache.contentHash).isEqualTo(current.cache.contentHash)
        expectThat(current.objectsSent).isEqualTo(20)
        expectThat(behind.objectsSent).isEqualTo(0)
    }
}
