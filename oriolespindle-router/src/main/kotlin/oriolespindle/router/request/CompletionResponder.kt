package oriolespindle.router.request

import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.stream.StreamToken
import oriolespindle.router.http.ClientCall
import oriolespindle.router.http.HttpAnswer
import oriolespindle.router.http.ServerExchange

/** Sends the response to one completion, as server-sent events or as one JSON object. */
internal class CompletionResponder(
    private val exchange: ServerExchange,
    private val request: RequestId,
    private val isStreamed: Boolean,
) {
    private val bufferedTokens = ArrayList<StreamToken>()
    private var hasBegun = false

    @Volatile
    private var source: ClientCall? = null

    init {
        exchange.onWritable = ::onWritableChanged
    }

    /** Whether reading from the engine is paused because the caller reads too slowly. */
    @Volatile
    var isPaused: Boolean = false
        private set

    /** Sets the engine call that supplies the tokens, to which backpressure from a slow caller is applied. */
    fun setSource(call: ClientCall) {
        source = call
        onWritableChanged(exchange.isWritable)
    }

    private fun onWritableChanged(isWritable: Boolean) {
        isPaused = !isWritable
        if (isWritable) source?.resumeReading() else source?.pauseReading()
    }

    fun deliver(tokens: List<StreamToken>) {
        if (!isStreamed) {
            bufferedTokens.addAll(tokens)
            return
        }
        beginOnce()
        val text = StringBuilder()
        for (token in tokens) text.append(sseEvent(tokenBody(token)))
        exchange.writeChunk(text.toString().toByteArray())
    }

    fun complete(count: Int) {
        if (!isStreamed) {
            exchange.respond(HttpAnswer.json(STATUS_OK, wholeBody(count), Answers.headers(request, "done")))
            return
        }
        beginOnce()
        val finish =
            Answers.encode(
                buildJsonObject {
                    put("finish", "length")
                    put("tokens", count)
                },
            )
        exchange.writeChunk((sseEvent(finish) + "data: [DONE]\n\n").toByteArray())
        exchange.endStream()
    }

    fun fail(outcome: CallOutcome) {
        if (hasBegun) {
            exchange.writeChunk(sseEvent(Answers.encode(Answers.errorBody(outcome))).toByteArray())
            exchange.endStream()
            return
        }
        when (outcome) {
            is CallOutcome.NotRun -> exchange.respond(Answers.notRun(request, outcome))
            is CallOutcome.Unknown -> exchange.respond(Answers.unknown(request, outcome))
            is CallOutcome.Done -> error("a successful request has no error answer")
        }
    }

    private fun beginOnce() {
        if (hasBegun) return
        hasBegun = true
        // The outcome of a stream is known only at its end, so the last event carries it instead of a header.
        exchange.beginStream(STATUS_OK, "text/event-stream", listOf(Answers.REQUEST_ID_HEADER to request.value))
    }

    private fun sseEvent(data: String): String = "data: $data\n\n"

    private fun tokenBody(token: StreamToken): String =
        Answers.encode(
            buildJsonObject {
                put("position", token.position)
                put("token", token.text)
            },
        )

    private fun wholeBody(count: Int): String =
        Answers.encode(
            buildJsonObject {
                putJsonArray("tokens") { bufferedTokens.forEach { add(it.text) } }
                put("finish", "length")
                put("count", count)
            },
        )

    private companion object {
        const val STATUS_OK = 200
    }
}
