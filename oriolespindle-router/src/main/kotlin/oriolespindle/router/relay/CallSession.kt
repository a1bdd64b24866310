package oriolespindle.router.relay

import io.netty.handler.codec.http.HttpHeaderNames
import oriolespindle.core.id.EndpointId
import oriolespindle.core.relay.AttemptEnd
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.relay.RouteKind
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.runtime.monotonicNow
import java.io.ByteArrayOutputStream

/** A request to a plain service; its answer is passed on once it has arrived whole. */
internal class CallSession(
    context: RelayContext,
    request: RelayRequest,
) : RelaySession(context, request) {
    private val body = ByteArrayOutputStream()
    private var head: ClientEvent.Head? = null
    private var endpoint: RelayEndpoint? = null
    private var startedAt = Timestamp.ZERO

    override val answerBegun: Boolean = false

    override val receiver: EndpointId? get() = endpoint?.id

    override fun attempt() {
        val now = monotonicNow()
        val candidates = context.directory.usable(now, request.service.id).filter { mayReceive(it.id) }
        val chosen = context.selector.choose(now, candidates, avoid)
        if (chosen == null) {
            attemptFailed(AttemptEnd.NotSent, "no_endpoint", endpoint = null)
            return
        }
        head = null
        body.reset()
        endpoint = chosen
        startedAt = now
        context.selector.onRequestStarted(chosen.id)
        val once = request.route.kind == RouteKind.NON_IDEMPOTENT
        send(chosen, emptyList(), context.times.maxIdleNonIdempotent.takeIf { once }, ::handle)
        val objective = request.route.objective
        if (!once && objective != null) watchAttempt(objective * context.times.silentAfterObjectives, ::silent)
    }

    override fun attemptEnded() {
        endpoint?.let {
            context.selector.onRequestEnded(monotonicNow(), it.id, elapsed(startedAt), failed = !isSuccess())
        }
        endpoint = null
    }

    private fun handle(event: ClientEvent) {
        when (event) {
            is ClientEvent.Head -> head = event
            is ClientEvent.Data -> body.writeBytes(event.bytes)
            is ClientEvent.End -> head?.let(::answered)
            is ClientEvent.Failed -> failed(event)
        }
    }

    private fun failed(event: ClientEvent.Failed) {
        val failed = endpoint?.id
        if (failed != null && concernsEndpoint(event)) context.directory.onFailure(monotonicNow(), failed)
        attemptFailed(endOf(event), event.kind.name.lowercase(), failed)
    }

    private fun silent() {
        val silent = endpoint?.id
        val sent = call?.sent == true
        dropCall()
        attemptFailed(if (sent) AttemptEnd.Unknown else AttemptEnd.NotSent, "silent", silent)
    }

    private fun answered(head: ClientEvent.Head) {
        val from = endpoint ?: return
        val signed = head.headers.contains(context.names.signature)
        val encoded = head.headers.contains(HttpHeaderNames.CONTENT_ENCODING)
        val refused = head.headers.contains(context.names.notExecuted) || head.status == MISDIRECTED
        context.directory.onSuccess(from.id, startedAt)
        when {
            refused -> notRun(head, from)
            !signed || encoded -> attemptFailed(AttemptEnd.Unknown, "not_an_endpoint_answer", from.id)
            head.status in SUCCESS_FIRST..SUCCESS_LAST || head.status < SERVER_ERROR -> deliver(head)
            else -> attemptFailed(AttemptEnd.Failed, "endpoint_error", from.id) { deliver(head) }
        }
    }

    private fun notRun(
        head: ClientEvent.Head,
        from: RelayEndpoint,
    ) {
        if (head.status == MISDIRECTED) context.directory.onReplaced(from.id)
        attemptFailed(AttemptEnd.NotRun, "endpoint_refused", from.id)
    }

    private fun deliver(head: ClientEvent.Head) {
        context.metrics.answered(elapsed(request.arrived))
        done(head.status)
        exchange.relay(head.status, context.headers.forCaller(head.headers), body.toByteArray())
    }

    private fun isSuccess(): Boolean = head?.let { it.status < SERVER_ERROR } ?: false

    private companion object {
        const val SERVER_ERROR = 500
    }
}
