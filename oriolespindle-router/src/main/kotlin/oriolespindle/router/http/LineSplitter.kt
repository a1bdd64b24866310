package oriolespindle.router.http

import java.io.ByteArrayOutputStream

/** Splits a byte stream into lines of at most [maxLineBytes] and omits empty ones. */
internal class LineSplitter(
    private val maxLineBytes: Int = 1_048_576,
) {
    private val partial = ByteArrayOutputStream()

    /** Whether an incomplete line is buffered, as after a truncated stream. */
    val hasPartial: Boolean get() = partial.size() > 0

    /** Adds [bytes] and returns the lines that they complete, or null if a line is too long. */
    fun feed(bytes: ByteArray): List<String>? {
        val lines = ArrayList<String>()
        var start = 0
        for (i in bytes.indices) {
            if (bytes[i] != NEWLINE) continue
            partial.write(bytes, start, i - start)
            start = i + 1
            if (partial.size() > 0) lines.add(partial.toString(Charsets.UTF_8))
            partial.reset()
        }
        partial.write(bytes, start, bytes.size - start)
        return lines.takeIf { partial.size() <= maxLineBytes }
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
