package oriolespindle.router.peer

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import oriolespindle.core.fairness.DemandReport
import oriolespindle.core.limit.ShareMessage
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

/** Guards against a slow peer that makes an instance run out of memory or delays counters behind old gossip. */
class PeerQueueTest {
    private val frame = ByteArray(10)

    private fun gossip(number: Int) = PeerMessage.Demand(DemandReport(number.toLong(), emptyList()))

    private fun counters(number: Long) = PeerMessage.Share(ShareMessage.Probe(number))

    private fun drain(
        queue: PeerQueue,
        count: Int,
    ) = runBlocking { List(count) { queue.take().second } }

    @Test
    fun `a full queue drops old gossip before counters`() {
        val queue = PeerQueue(maxFrames = 3, maxBytes = 1_000)
        val messages = listOf(counters(1), gossip(1), gossip(2), counters(2))

        expectThat(messages.map { queue.offer(frame, it) }).containsExactly(0, 0, 0, 1)
        expectThat(drain(queue, 3)).containsExactly(counters(1), gossip(2), counters(2))
    }

    @Test
    fun `a queue that holds only counters is bounded too`() {
        val queue = PeerQueue(maxFrames = 100, maxBytes = 25)
        (1L..3L).forEach { queue.offer(frame, counters(it)) }

        expectThat(drain(queue, 2)).containsExactly(counters(2), counters(3))
    }

    @Test
    fun `old gossip is dropped while a connection is down and counters are kept`() {
        val queue = PeerQueue(maxFrames = 10, maxBytes = 1_000)
        listOf(gossip(1), counters(1), gossip(2)).forEach { queue.offer(frame, it) }

        expectThat(queue.dropGossip()).isEqualTo(2)
        expectThat(drain(queue, 1)).containsExactly(counters(1))
    }
}
