package oriolespindle.router.relay

import oriolespindle.core.http.AnswerFault

/** A head that no answer over HTTP/1.1 may have; the fields and the body around it are sound. */
internal class BrokenHead(
    private val name: String,
    val fault: AnswerFault,
    private val statusLine: String = "HTTP/1.1 200 OK",
    /** Whole lines, sent before and after the sound fields. */
    private val lines: String = "",
) {
    /** Returns an answer that is sound but for its head; [fields] are whole lines, [framing] is about [body]. */
    fun answer(
        fields: String,
        framing: String = "",
        body: String = "",
    ): String = "$statusLine\r\n$lines$fields$lines$framing\r\n$body"

    override fun toString(): String = name

    companion object {
        /** A line feed ends the line, so that the rest of it is a line of its own. */
        private val CONTROL_BYTES = (0x00..0x1f).map { it.toChar() } + '\u007f' - '\n'

        private fun statusLine(
            line: String,
            fault: AnswerFault,
        ) = BrokenHead("status line ${quoted(line)}", fault, statusLine = line)

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

        private val oversized =
            listOf(
                BrokenHead("a long field", AnswerFault.HEAD_TOO_LARGE, lines = "Long: ${"x".repeat(40_000)}\r\n"),
                BrokenHead("many fields", AnswerFault.HEAD_TOO_LARGE, lines = "F: 1\r\n".repeat(300)),
                BrokenHead(
                    "a long status line",
                    AnswerFault.HEAD_TOO_LARGE,
                    statusLine = "HTTP/1.1 200 ${"x".repeat(40_000)}",
                ),
            )

        val all = statuses + versions + reasons + oversized
    }
}
