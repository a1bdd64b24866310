package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class StreamReaderTest {
    private val settings = StreamReaderSettings(maxEventBytes = 100, maxSkippedBytes = 40, maxSkippedEvents = 5)
    private val reader = StreamReader(StreamPosition(startAfter = null), settings)

    private fun read(text: String): StreamPart = reader.read(text.toByteArray())

    private fun event(id: Int) = "id: $id\ndata: $id\n\n"

    private fun StreamPart.text() = bytes.decodeToString()

    @Test
    fun `passes the events and comments that arrive together on as one part`() {
        val text = event(1) + ": alive\n\n\n\n" + event(2)
        val part = read(text + "id: 3")

        expectThat(part.text()).isEqualTo(text)
        expectThat(part.events).isEqualTo(2)
        expectThat(part.fault).isNull()
        expectThat(reader.hasPartialEvent).isTrue()
    }

    @Test
    fun `holds back comments before the first event of a run`() {
        expectThat(read(":\n\n").text()).isEmpty()
        expectThat(read(event(1) + ":\n\n").text()).isEqualTo(event(1) + ":\n\n")

        reader.onRunStarted(isResumed = true)
        expectThat(read(":\n\n").text()).isEmpty()
        expectThat(read(event(1) + event(2)).text()).isEqualTo(event(2))
        expectThat(reader.runEvents).isEqualTo(1)
    }

    // No amount of blank lines, comments or repeated events ended a run.
    @Test
    fun `guards against bytes without end that continue no stream`() {
        for (garbage in listOf("\n\n", "\r\n\r\n", ":\n\n", event(1))) {
            val reader = StreamReader(StreamPosition(startAfter = null), settings)
            reader.read(event(1).toByteArray())
            val accepted = (1..1_000).indexOfFirst { reader.read(garbage.toByteArray()).fault != null }

            expectThat(accepted).isEqualTo(minOf(settings.maxSkippedEvents, settings.maxSkippedBytes / garbage.length))
        }
    }

    @Test
    fun `guards against ending a stream whose endpoint sends comments between its events`() {
        repeat(100) { id ->
            expectThat(read(event(id + 1) + ": alive\n\n").fault).isNull()
            expectThat(read(":\n\n").fault).isNull()
        }
        reader.onRunStarted(isResumed = true)
        expectThat(read(":\n\n".repeat(10)).fault).isNull()
    }

    @Test
    fun `passes on what precedes a fault`() {
        expectThat(read(event(1) + event(2) + "<html>\n\n" + event(3))) {
            get { text() }.isEqualTo(event(1) + event(2))
            get { fault }.isEqualTo(StreamFault.NOT_AN_EVENT)
        }
        reader.onRunStarted(isResumed = true)
        expectThat(read(event(3) + event(1)).fault).isNull()
        reader.onRunStarted(isResumed = true)
        expectThat(read(event(5)).fault).isEqualTo(StreamFault.EVENT_MISSING)
        reader.onRunStarted(isResumed = true)
        expectThat(read("x".repeat(101)).fault).isEqualTo(StreamFault.ANSWER_TOO_LARGE)
    }

    @Test
    fun `guards against a record for each of many blank lines`() {
        val framer = EventFramer()
        val records = framer.feed(("\n".repeat(4_000) + event(1) + ":\n\n".repeat(100)).toByteArray())

        expectThat(records).hasSize(2 + 1)
        expectThat(records.map { it.isComment }).isEqualTo(listOf(true, false, true))
        expectThat(framer.hasPartialEvent).isFalse()
    }
}
