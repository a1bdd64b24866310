package oriolespindle.router.relay

import oriolespindle.core.lifecycle.LeavingSource
import oriolespindle.core.relay.EndpointDirectory
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.logging.EventLog

/** Applies what endpoints tell about themselves in the heads of their answers, whatever the answers are. */
internal class AnswerObserver(
    private val names: RelayHeaderNames,
    private val directory: EndpointDirectory,
) {
    /** Called with the [head] of each answer that the process of [endpoint] sends. */
    fun onHead(
        endpoint: RelayEndpoint,
        head: ClientEvent.Head,
    ) {
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
    }

    private companion object {
        const val LEAVES = "1"
    }
}
