package oriolespindle.core.relay

/** One complete event of an event stream, or the comments and blank lines between two events. */
public class FramedEvent(
    /** The bytes of the event, including the blank line that ends it. */
    public val bytes: ByteArray,
    /** The numeric id of the event, or null if it has none. */
    public val id: Long?,
    /** Whether it has no field, so that it carries no part of the answer: comments or blank lines. */
    public val isComment: Boolean = false,
    /** Whether it has lines but no field of an event, such as an error page among the events of a stream. */
    public val isMalformed: Boolean = false,
)

/** Splits an event stream into complete events and buffers the bytes after the last blank line. */
public class EventFramer(
    /** The most bytes that are buffered: a partial event with those that arrive next. */
    maxEventBytes: Int = 256 * 1024,
    /** Bounds the partial events of several streams. */
    quota: ByteQuota = ByteQuota(Int.MAX_VALUE),
) {
    private val pending = GrowingBuffer(quota, maxEventBytes)
    private val buffer get() = pending.array
    private val size get() = pending.size

    /** The position up to which the buffer is known not to end an event. */
    private var scanned = 0

    /** Whether an event exceeds the limits, so that the stream cannot continue. */
    public var isOversized: Boolean = false
        private set

    /** Whether an event is buffered that is not complete yet. */
    public val hasPartialEvent: Boolean get() = size > 0

    /** Appends [bytes] and returns the events that they complete; consecutive comments are one event. */
    public fun feed(bytes: ByteArray): List<FramedEvent> {
        if (isOversized || !pending.append(bytes)) {
            isOversized = true
            return emptyList()
        }
        val events = ArrayList<FramedEvent>()
        var commentStart = 0
        var start = 0
        var position = scanned
        while (position + 1 < size) {
            val length = eventEndLength(position)
            if (length == 0) {
                position++
                continue
            }
            position += length
            if (hasField(start, position)) {
                if (commentStart < start) events += comment(commentStart, start)
                events += framed(buffer.copyOfRange(start, position))
                commentStart = position
            }
            start = position
        }
        if (commentStart < start) events += comment(commentStart, start)
        pending.discard(start)
        // A line break at the very end may be the first half of the end of an event.
        scanned = maxOf(0, size - MAX_EVENT_END)
        return events
    }

    /** Discards a partial event; must be called before bytes of another answer are fed, and at the end of the last. */
    public fun reset() {
        pending.clear()
        scanned = 0
        isOversized = false
    }

    /** Returns the length of the line break and blank line at [position] that end an event, or 0 if there is none. */
    private fun eventEndLength(position: Int): Int =
        when {
            buffer[position] == LF && buffer[position + 1] == LF -> 2
            isCrLf(position) && isCrLf(position + 2) -> 2 * 2
            else -> 0
        }

    private fun isCrLf(position: Int) = position + 1 < size && buffer[position] == CR && buffer[position + 1] == LF

    /** Whether a line between [start] and [end] is neither empty nor a comment. */
    private fun hasField(
        start: Int,
        end: Int,
    ): Boolean {
        var isLineStart = true
        for (i in start until end) {
            val byte = buffer[i]
            when {
                byte == LF || byte == CR -> isLineStart = true
                isLineStart && byte != COMMENT_BYTE -> return true
                else -> isLineStart = false
            }
        }
        return false
    }

    private fun comment(
        start: Int,
        end: Int,
    ) = FramedEvent(buffer.copyOfRange(start, end), id = null, isComment = true)

    private fun framed(event: ByteArray): FramedEvent {
        val lines = event.decodeToString().lineSequence().filter { it.isNotEmpty() && !it.startsWith(COMMENT) }
        val id = lines.firstOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)
        return FramedEvent(
            bytes = event,
            id = id?.trim()?.toLongOrNull(),
            isMalformed = lines.none { it.substringBefore(':') in FIELDS },
        )
    }

    private companion object {
        const val ID_FIELD = "id:"
        const val COMMENT = ':'
        const val COMMENT_BYTE = COMMENT.code.toByte()

        /** The fields that the format of event streams defines; endpoints may add others. */
        val FIELDS = setOf("id", "data", "event", "retry")

        /** One byte less than two line breaks of two bytes. */
        const val MAX_EVENT_END = 3
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
    }
}
