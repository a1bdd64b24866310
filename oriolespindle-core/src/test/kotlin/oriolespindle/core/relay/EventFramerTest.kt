package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.SplittableRandom

class EventFramerTest {
    private val framer = EventFramer()

    private fun feed(text: String) = framer.feed(text.toByteArray()).map { it.id to it.bytes.decodeToString() }

    @Test
    fun `guards against forwarding a partial event`() {
        expectThat(feed("id: 1\ndata: a\n\nid: 2\nda")).containsExactly(1L to "id: 1\ndata: a\n\n")
        expectThat(framer.hasPartialEvent).isTrue()
        expectThat(feed("ta: b\n")).isEmpty()
        expectThat(feed("\n")).containsExactly(2L to "id: 2\ndata: b\n\n")
        expectThat(framer.hasPartialEvent).isFalse()
    }

    @Test
    fun `guards against joining a truncated event of one run to the bytes of the next`() {
        feed("id: 1\ndata: a\n\nid: 2\ndata: b")
        framer.reset()

        expectThat(feed("id: 2\ndata: b\n\n")).containsExactly(2L to "id: 2\ndata: b\n\n")
    }

    @Test
    fun `guards against losing bytes at any chunk boundary`() {
        val text = (1..50).joinToString("") { "versions: 3\nid: $it\ndata: ${"x".repeat(it)}\r\n\r\n" }
        val random = SplittableRandom(7)
        repeat(50) {
            val framer = EventFramer()
            val bytes = text.toByteArray()
            var position = 0
            val events = ArrayList<FramedEvent>()
            while (position < bytes.size) {
                val end = minOf(bytes.size, position + 1 + random.nextInt(40))
                events += framer.feed(bytes.copyOfRange(position, end))
                position = end
            }
            expectThat(events.joinToString("") { it.bytes.decodeToString() }).isEqualTo(text)
            expectThat(events.map { it.id }).isEqualTo((1L..50L).toList())
        }
    }

    @Test
    fun `guards against taking an error page for an event`() {
        val page = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\n"
        val records = framer.feed("versions: 3\nid: 1\ndata: a\n\n: alive\n\n$page".toByteArray())

        expectThat(records.map { it.isMalformed }).containsExactly(false, false, true)
    }

    @Test
    fun `guards against missing or duplicate events where runs are joined`() {
        val position = StreamPosition(startAfter = null)
        expectThat((1L..3L).map { position.accept(it) }.distinct()).containsExactly(EventVerdict.FORWARD)
        position.onResumed()

        expectThat(position.accept(3)).isEqualTo(EventVerdict.DUPLICATE)
        expectThat(position.accept(4)).isEqualTo(EventVerdict.FORWARD)
        position.onResumed()
        expectThat(position.accept(6)).isEqualTo(EventVerdict.GAP)
        expectThat(position.last).isEqualTo(4)
    }

    @Test
    fun `guards against the events of a run that has started over`() {
        val position = StreamPosition(startAfter = null)
        (1L..3L).forEach { position.accept(it) }
        position.onResumed()

        expectThat((1L..4L).map { position.accept(it) }.first()).isEqualTo(EventVerdict.GAP)
    }
}
