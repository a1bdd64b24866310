package oriolespindle.router.endpoint

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.RequestId
import oriolespindle.core.stream.LayerSpan
import oriolespindle.core.stream.StreamEvent
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.http.FailureKind
import oriolespindle.router.http.LineSplitter
import java.io.ByteArrayOutputStream

/** An event of an attempt at an engine. */
internal sealed interface EngineSignal {
    /** Decoded lines of the answer, in order. */
    data class Lines(
        val events: List<StreamEvent>,
    ) : EngineSignal

    /** A complete answer stating that this attempt did not run; [reason] is `draining`, `busy` or `bad_chain`. */
    data class Refused(
        val reason: String,
    ) : EngineSignal

    /** A complete answer that is neither a stream nor a refusal. */
    data class BadAnswer(
        val status: Int,
    ) : EngineSignal

    /** The call failed as [kind]; unless [sent] is true, the request cannot have run. */
    data class Failed(
        val kind: FailureKind,
        val sent: Boolean,
    ) : EngineSignal
}

/** Decodes the answer of one attempt; [post] returns false when the receiver cannot accept the signal yet. */
internal class EngineStream(
    private val request: RequestId,
    private val attempt: AttemptNumber,
    private val post: (EngineSignal) -> Boolean,
) {
    private val lines = LineSplitter(MAX_LINE_BYTES)
    private val refusal = ByteArrayOutputStream()
    private var status = 0
    private var undelivered: EngineSignal? = null

    /**
     * Handles one event; returns false if the caller must deliver the same event again.
     *
     * The decoded signal is kept until then, since an event must not be decoded twice.
     */
    fun handle(event: ClientEvent): Boolean {
        val signal = undelivered ?: decode(event) ?: return true
        undelivered = if (post(signal)) null else signal
        return undelivered == null
    }

    private fun decode(event: ClientEvent): EngineSignal? =
        when (event) {
            is ClientEvent.Head -> {
                status = event.status
                null
            }

            is ClientEvent.Data -> {
                decodeData(event.bytes)
            }

            is ClientEvent.End -> {
                if (status == STATUS_OK) endSignal() else refusalSignal()
            }

            is ClientEvent.Failed -> {
                EngineSignal.Failed(event.kind, event.sent)
            }
        }

    private fun decodeData(bytes: ByteArray): EngineSignal? {
        if (status != STATUS_OK) {
            if (refusal.size() < MAX_REFUSAL_BYTES) refusal.writeBytes(bytes)
            return null
        }
        val complete = lines.feed(bytes) ?: return EngineSignal.Lines(listOf(StreamEvent.Unreadable(request, attempt)))
        return if (complete.isEmpty()) null else EngineSignal.Lines(complete.map(::parseLine))
    }

    private fun endSignal(): EngineSignal {
        val last =
            if (lines.hasPartial) StreamEvent.Unreadable(request, attempt) else StreamEvent.Closed(request, attempt)
        return EngineSignal.Lines(listOf(last))
    }

    private fun refusalSignal(): EngineSignal {
        val answer =
            try {
                json.decodeFromString(EngineRefusal.serializer(), refusal.toString(Charsets.UTF_8))
            } catch (_: SerializationException) {
                null
            }
        val notRun = status == STATUS_UNAVAILABLE && answer?.outcome == "not_run" && isOwn(answer)
        return if (notRun) EngineSignal.Refused(answer.reason) else EngineSignal.BadAnswer(status)
    }

    private fun isOwn(answer: EngineRefusal): Boolean =
        answer.request == request.value && answer.attempt == attempt.value

    private fun parseLine(text: String): StreamEvent {
        val line =
            try {
                json.decodeFromString(PipelineLine.serializer(), text)
            } catch (_: SerializationException) {
                return StreamEvent.Unreadable(request, attempt)
            }
        val from = RequestId(line.request)
        val number = AttemptNumber(line.attempt)
        return when {
            line.error != null -> StreamEvent.Error(from, number, line.error, line.endpoint?.let(::EndpointId))
            line.end && line.count != null -> StreamEvent.End(from, number, line.count)
            line.position != null && line.token != null -> token(from, number, line.position, line.token, line.layers)
            else -> StreamEvent.Unreadable(request, attempt)
        }
    }

    private fun token(
        from: RequestId,
        number: AttemptNumber,
        position: Int,
        token: String,
        layers: List<List<Int>>,
    ): StreamEvent {
        if (layers.any { it.size != 2 }) return StreamEvent.Unreadable(request, attempt)
        return StreamEvent.Token(from, number, position, token, layers.map { LayerSpan(it[0], it[1]) })
    }

    internal companion object {
        val json: Json = Json { ignoreUnknownKeys = true }
        private const val STATUS_OK = 200
        private const val STATUS_UNAVAILABLE = 503
        private const val MAX_REFUSAL_BYTES = 4_096

        /** A token line with the layers of 100 stages is about 2 KB. */
        private const val MAX_LINE_BYTES = 64 * 1024
    }
}
