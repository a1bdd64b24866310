package oriolespindle.router.relay

import oriolespindle.core.http.AnswerFault

/** A head that no answer over HTTP/1.1 may have; the fields and the body around it are sound. */
internal class BrokenHead(
    private val name: String,
    val fault: AnswerFault,
    private val statusLine: String = "HTTP/1.1 200 OK",
    /** Whole lines, sent before and after the sound fields. */
    private val lines: String = "",
    private val framing: String? = null,
) {
    /** Returns an answer that is sound but for its head; [fields] are whole lines, [framing] is about [body]. */
    fun answer(
        fields: String,
        framing: String = "",
        body: String = "",
    ): String = "$statusLine\r\n$lines$fields$lines${this.framing ?: framing}\r\n$body"

    /** Returns the lines of the broken field as a trailer. */
    fun trailer(): String = lines + "\r\n"

    override fun toString(): String = name

    companion object {
        /** A line feed ends the line, so that the rest of it is a line of its own. */
        private val CONTROL_BYTES = (0x00..0x1f).map { it.toChar() } + '\u007f' - '\n'

        private fun statusLine(
            line: String,
            fault: AnswerFault,
        ) = BrokenHead("status line ${quoted(line)}", fault, statusLine = line)

        private fun line(
            line: String,
            fault: AnswerFault,
        ) = BrokenHead("line ${quoted(line)}", fault, lines = "$line\r\n")

        private fun framing(
            lines: String,
            fault: AnswerFault = AnswerFault.FRAMING,
        ) = BrokenHead("framing ${quoted(lines)}", fault, framing = "$lines\r\n")

        private fun quoted(text: String): String =
            text.map { if (it in ' '..'~') it.toString() else "\\x%02x".format(it.code) }.joinToString("", "'", "'")

        private val statuses =
            listOf("000", "001", "099", "600", "999", "20", "2000", "00200", "+20", "-20", "2x0", "0x1", "", " 200")
                .map { "HTTP/1.1 $it OK" }
                .plus(listOf("HTTP/1.1 000", "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1 20\u00000 OK"))
                .map { statusLine(it, AnswerFault.STATUS) }

        private val versions =
            listOf(
                "HTTP/2.0",
                "HTTP/0.9",
                "HTTP/11.1",
                "HTTP/1.",
                "HTTP/1",
                "http/1.1",
                "ICY/1.1",
                "",
                "\u0000HTTP/1.1",
            ).map { "$it 200 OK" }
                .plus(listOf("HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "\tHTTP/1.1 200 OK"))
                .map { statusLine(it, AnswerFault.VERSION) }

        private val reasons =
            (CONTROL_BYTES - '\t').map { statusLine("HTTP/1.1 200 O${it}K", AnswerFault.REASON_PHRASE) }

        /** Lines whose name holds a blank, a control byte or another byte that names may not have. */
        val names =
            listOf("Bad Name", "Bad ", "", "Bad(Name", "B\u00e4d")
                .plus(CONTROL_BYTES.flatMap { listOf("${it}Bad", "Bad${it}Name", "Bad$it") } - "\tBad")
                .map { line("$it: 1", AnswerFault.FIELD_NAME) } + line("Bad", AnswerFault.FIELD_NAME)

        private val folds =
            listOf(" Bad: 1", "\tBad: 1", " ", "Bad: 1\r\n folded", "Bad: 1\r\n\tfolded")
                .map { line(it, AnswerFault.FOLDED_LINE) }

        private val values =
            (CONTROL_BYTES - '\t').flatMap { byte ->
                listOf("${byte}a", "a${byte}b").map { line("Bad: $it", AnswerFault.FIELD_VALUE) }
            }

        private val framings =
            listOf(
                "Content-Length : 4",
                "Content Length: 4",
                "Content-Length\t: 4",
                "Transfer-Encoding : chunked",
            ).map { framing(it, AnswerFault.FIELD_NAME) } +
                listOf(" Content-Length: 4", "Content-Length:\r\n 4", "Transfer-Encoding:\r\n chunked")
                    .map { framing(it, AnswerFault.FOLDED_LINE) } +
                listOf(
                    "Content-Length: 4\r\nContent-Length: 3",
                    "Content-Length: +4",
                    "Content-Length: -4",
                    "Content-Length: 4x",
                    "Content-Length: ",
                    "Content-Length: 99999999999999999999",
                    "Transfer-Encoding: gzip",
                    "Transfer-Encoding: gzip, chunked",
                    "Transfer-Encoding: chunked, gzip",
                    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                    "Transfer-Encoding: ",
                ).map { framing(it) }

        private val oversized =
            listOf(
                BrokenHead("a long field", AnswerFault.HEAD_TOO_LARGE, lines = "Long: ${"x".repeat(40_000)}\r\n"),
                BrokenHead("many fields", AnswerFault.HEAD_TOO_LARGE, lines = "F: 1\r\n".repeat(300)),
                BrokenHead(
                    "a long status line",
                    AnswerFault.HEAD_TOO_LARGE,
                    statusLine = "HTTP/1.1 200 ${"x".repeat(40_000)}",
                ),
                BrokenHead(
                    "chunks of an old version",
                    AnswerFault.FRAMING,
                    statusLine = "HTTP/1.0 200 OK",
                    framing = "Transfer-Encoding: chunked\r\n",
                ),
            )

        val all = statuses + versions + reasons + names + folds + values + framings + oversized
    }
}
