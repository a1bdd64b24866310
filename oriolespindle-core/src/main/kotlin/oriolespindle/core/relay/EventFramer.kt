package oriolespindle.core.relay

/** One complete event of an event stream. */
public class FramedEvent(
    /** The bytes of the event, including the blank line that ends it. */
    public val bytes: ByteArray,
    /** The numeric id of the event, or null if it has none. */
    public val id: Long?,
)

/** Splits an event stream into complete events and buffers the bytes after the last blank line. */
public class EventFramer {
    private var buffer = ByteArray(INITIAL_CAPACITY)
    private var size = 0

    /** Whether an event is buffered that is not complete yet. */
    public val hasPartialEvent: Boolean get() = size > 0

    /** Appends [bytes] and returns the events that they complete. */
    public fun feed(bytes: ByteArray): List<FramedEvent> {
        if (size + bytes.size > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, size + bytes.size))
        bytes.copyInto(buffer, size)
        size += bytes.size
        val events = ArrayList<FramedEvent>()
        var start = 0
        var position = 0
        while (position + 1 < size) {
            val length = eventEndLength(position)
            if (length == 0) {
                position++
                continue
            }
            position += length
            val event = buffer.copyOfRange(start, position)
            events += FramedEvent(event, id(event))
            start = position
        }
        buffer.copyInto(buffer, 0, start, size)
        size -= start
        return events
    }

    /** Discards a partial event; must be called before bytes of another answer are fed. */
    public fun reset() {
        size = 0
    }

    /** Returns the length of the line break and blank line at [position] that end an event, or 0 if there is none. */
    private fun eventEndLength(position: Int): Int =
        when {
            buffer[position] == LF && buffer[position + 1] == LF -> 2
            isCrLf(position) && isCrLf(position + 2) -> 2 * 2
            else -> 0
        }

    private fun isCrLf(position: Int) = position + 1 < size && buffer[position] == CR && buffer[position + 1] == LF

    private fun id(event: ByteArray): Long? {
        val line = event.decodeToString().lineSequence().firstOrNull { it.startsWith(ID_FIELD) }
        return line?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()
    }

    private companion object {
        const val INITIAL_CAPACITY = 1024
        const val ID_FIELD = "id:"
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
    }
}
