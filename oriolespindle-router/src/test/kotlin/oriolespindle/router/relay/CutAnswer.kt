package oriolespindle.router.relay

/** An answer of which an endpoint sends the first [length] characters before its connection ends. */
internal class CutAnswer(
    private val answer: AnswerForm,
    private val length: Int,
    private val byReset: Boolean,
) {
    val method: String get() = answer.method

    /** Whether the whole head is sent. */
    val hasHead: Boolean get() = length >= answer.head.length

    fun send(
        connection: ScriptedConnection,
        requestId: String,
    ) {
        connection.write((answer.head + answer.body).take(length).replace(AnswerForm.REQUEST_ID, requestId))
        if (byReset) connection.reset() else connection.close()
    }

    override fun toString(): String = "${answer.name}, ${if (byReset) "reset" else "closed"} after $length characters"
}

/**
 * A complete answer in one of the forms that HTTP allows.
 *
 * @property endsWithConnection whether a close after the head is the regular end of the body.
 */
internal class AnswerForm(
    val name: String,
    val head: String,
    val body: String = "",
    val method: String = "POST",
    val endsWithConnection: Boolean = false,
) {
    /** Every way to end the connection before the answer is complete. */
    fun cuts(): List<CutAnswer> {
        val whole = head.length + body.length
        val closes = (0 until if (endsWithConnection) head.length else whole).map { CutAnswer(this, it, false) }
        val resets = (0 until if (endsWithConnection) whole + 1 else whole).map { CutAnswer(this, it, true) }
        return closes + resets
    }

    companion object {
        /** Stands for the id of the request in [head]; as long as the ids of the tests, so that lengths stay. */
        const val REQUEST_ID = "ID"
        private const val FIELDS = "Request-Name: $REQUEST_ID\r\nSigned: yes\r\n"
        private const val LENGTH = "Content-Length: 4\r\n\r\n"

        val ofCalls =
            listOf(
                AnswerForm("length", "HTTP/1.1 200 OK\r\n$FIELDS$LENGTH", "body"),
                AnswerForm("no length", "HTTP/1.1 200 OK\r\n$FIELDS\r\n", "body", endsWithConnection = true),
                AnswerForm(
                    "chunked",
                    "HTTP/1.1 200 OK\r\n${FIELDS}Transfer-Encoding: chunked\r\n\r\n",
                    Scripts.chunk("body") + Scripts.LAST_CHUNK,
                ),
                AnswerForm(
                    "interim",
                    "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n$FIELDS$LENGTH",
                    "body",
                ),
                AnswerForm("HEAD", "HTTP/1.1 200 OK\r\n$FIELDS$LENGTH", method = "HEAD"),
                AnswerForm("204", "HTTP/1.1 204 No Content\r\n$FIELDS\r\n"),
                AnswerForm("304", "HTTP/1.1 304 Not Modified\r\n$FIELDS\r\n"),
                AnswerForm("refusal", "HTTP/1.1 503 Busy\r\n${FIELDS}Not-Run: 1\r\n$LENGTH", "busy"),
            )

        private const val STREAM = "HTTP/1.1 200 OK\r\n${FIELDS}Content-Type: text/event-stream\r\n"

        val ofStreams =
            listOf(
                AnswerForm("chunked stream", "${STREAM}Transfer-Encoding: chunked\r\n\r\n", Scripts.LAST_CHUNK),
                AnswerForm("stream without length", "$STREAM\r\n", endsWithConnection = true),
                AnswerForm("stream with length", "${STREAM}Content-Length: 21\r\n\r\n", Scripts.event(2)),
                AnswerForm("refused stream", "HTTP/1.1 503 Busy\r\n${FIELDS}Not-Run: 1\r\n$LENGTH", "busy"),
            )
    }
}
