package oriolespindle.router.relay

import oriolespindle.core.lifecycle.LeavingSource
import oriolespindle.core.relay.EndpointDirectory
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.http.RetryAfter
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration

/** Applies what endpoints tell about themselves in the heads of their answers, whatever the answers are. */
internal class AnswerObserver(
    private val names: RelayHeaderNames,
    private val directory: EndpointDirectory,
    /** Called when a process of an endpoint has sent something. */
    private val onSignOfLife: (RelayEndpoint) -> Unit,
) {
    /** Called with the [head] of each answer that the process of [endpoint] sends. */
    fun onHead(
        endpoint: RelayEndpoint,
        head: ClientEvent.Head,
    ) {
        // A misdirected request was answered by another process at the address.
        if (head.status != MISDIRECTED) onSignOfLife(endpoint)
        if (head.headers.get(names.leaving)?.trim() == LEAVES && directory.onLeaving(endpoint)) {
            EventLog.info(
                "endpoint leaves",
                "endpoint" to endpoint.id,
                "started_at" to endpoint.startedAt,
                "source" to LeavingSource.ENDPOINT.name.lowercase(),
                "answer_to" to head.headers.get(names.requestId),
                "status" to head.status,
            )
        }
        if (head.status == UNAVAILABLE) head.headers.get(RetryAfter.NAME)?.let { onRetryAfter(endpoint, head, it) }
    }

    private fun onRetryAfter(
        endpoint: RelayEndpoint,
        head: ClientEvent.Head,
        value: String,
    ) {
        val requested = RetryAfter.parse(value)
        val answerTo = head.headers.get(names.requestId)
        if (requested == null) {
            EventLog.warn(
                "Retry-After of an endpoint ignored",
                "endpoint" to endpoint.id,
                "value" to value.take(MAX_LOGGED_CHARS),
                "answer_to" to answerTo,
            )
            return
        }
        if (requested == Duration.ZERO) return
        val pause = directory.onPauseRequested(monotonicNow(), endpoint, requested)
        EventLog.info(
            "endpoint asks for a pause",
            "endpoint" to endpoint.id,
            "started_at" to endpoint.startedAt,
            "requested" to requested,
            "pause_ms" to pause.inWholeMilliseconds,
            "answer_to" to answerTo,
        )
    }

    private companion object {
        const val LEAVES = "1"
        const val UNAVAILABLE = 503
        const val MISDIRECTED = 421
        const val MAX_LOGGED_CHARS = 50
    }
}
