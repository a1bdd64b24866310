package oriolespindle.router.request

import oriolespindle.core.relay.GrowingBuffer
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.http.FailureKind

/** Collects the events of an endpoint's answer into one result. */
internal class AnswerCollector(
    private val body: GrowingBuffer,
) {
    private var head: ClientEvent.Head? = null

    /** Whether the answer has more bytes than there is memory for, so that the call has to be cancelled. */
    var isOversized = false
        private set

    fun handle(event: ClientEvent): ServiceResult? {
        when (event) {
            is ClientEvent.Head -> head = event
            is ClientEvent.Data -> if (!isOversized) isOversized = !body.append(event.bytes)
            is ClientEvent.End -> return complete(checkNotNull(head) { "an answer ended before its head" })
            is ClientEvent.Failed -> return failed(event)
        }
        return null
    }

    private fun complete(head: ClientEvent.Head): ServiceResult {
        val bytes = body.toByteArray()
        body.clear()
        if (isOversized) return ServiceResult.Lost(timedOut = false)
        val notRun = head.status == STATUS_UNAVAILABLE && head.headers[Answers.OUTCOME_HEADER] in NOT_RUN_VALUES
        if (notRun) return ServiceResult.NotRun(head.headers["Retry-After"]?.toLongOrNull())
        return ServiceResult.Answered(head.status, bytes, head.headers["Content-Type"])
    }

    private fun failed(event: ClientEvent.Failed): ServiceResult {
        body.clear()
        return if (event.sent) ServiceResult.Lost(event.kind == FailureKind.TIMEOUT) else ServiceResult.NotSent
    }

    private companion object {
        const val STATUS_UNAVAILABLE = 503
        val NOT_RUN_VALUES = setOf("not-run", "not_run")
    }
}
