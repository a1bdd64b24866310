package oriolespindle.router.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.relay.AttemptEnd
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.relay.RouteKind
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.runtime.monotonicNow

/** Relays a request to a plain service and passes its answer on once it is complete. */
internal class CallSession(
    context: RelayContext,
    request: RelayRequest,
) : RelaySession(context, request) {
    private val body = context.http.newAnswerBuffer()
    private var head: ClientEvent.Head? = null
    private var endpoint: RelayEndpoint? = null
    private var startedAt = Timestamp.ZERO

    /** The endpoints that were abandoned for their silence alone; they are used again when no other one is left. */
    private val silent = HashSet<EndpointId>()

    override val answerBegun: Boolean = false

    override val isRunAnswered: Boolean = false

    override val receiver: EndpointId? get() = endpoint?.id

    override fun canResend(): Boolean = silent.isNotEmpty() || super.canResend()

    override fun startAttempt() {
        val now = monotonicNow()
        val candidates = context.directory.usable(now, request.service.id).filter { mayReceive(it.id) }
        val chosen =
            context.selector.choose(now, candidates, avoid)
                ?: context.selector.choose(now, candidates.filter { it.id in silent }, avoid = emptySet())
        if (chosen == null) {
            onNoEndpoint("no_endpoint")
            return
        }
        head = null
        silent -= chosen.id
        endpoint = chosen
        startedAt = now
        context.selector.onRequestStarted(chosen.id)
        val runsOnce = request.route.kind == RouteKind.NON_IDEMPOTENT
        send(chosen, emptyList(), context.times.maxIdleNonIdempotent.takeIf { runsOnce }, listener = ::onEvent)
        val objective = request.route.objective
        if (!runsOnce && objective != null) watchAttempt(objective * context.times.silentAfterObjectives, ::onSilence)
    }

    override fun onAttemptEnded() {
        body.clear()
        endpoint?.let {
            context.selector.onRequestEnded(monotonicNow(), it.id, elapsed(startedAt), failed = !isSuccess())
        }
        endpoint = null
    }

    private fun onEvent(event: ClientEvent) {
        when (event) {
            is ClientEvent.Head -> head = event
            is ClientEvent.Data -> if (!body.append(event.bytes)) onOversized()
            is ClientEvent.End -> head?.let(::onResponse)
            is ClientEvent.Failed -> onFailure(event)
        }
    }

    private fun onFailure(event: ClientEvent.Failed) {
        val failed = endpoint
        if (failed != null && concernsEndpoint(event)) context.directory.onFailure(monotonicNow(), failed.id)
        val next = { onAttemptFailed(endOf(event), event.reason, failed?.id) }
        if (isBreak(event)) afterBreak(next) else next()
    }

    private fun onOversized() {
        val faulty = endpoint?.id
        abandonCall()
        onAttemptFailed(AttemptEnd.Unknown, "answer_too_large", faulty)
    }

    /** Retries at another endpoint; without one, the answer may only be slow and is awaited. */
    private fun onSilence() {
        val silentEndpoint = endpoint?.id
        val sent = call?.sent == true
        if (sent && !(mayReplaceAttempt() && hasOtherEndpoint())) return
        abandonCall(silentEndpoint)
        silentEndpoint?.let(silent::add)
        onAttemptFailed(if (sent) AttemptEnd.Unknown else AttemptEnd.NotSent, "silent", silentEndpoint)
    }

    private fun hasOtherEndpoint(): Boolean =
        context.directory.usable(monotonicNow(), request.service.id).any {
            it.id != endpoint?.id && it.id !in avoid && mayReceive(it.id)
        }

    private fun onResponse(head: ClientEvent.Head) {
        val from = endpoint ?: return
        context.directory.onSuccess(from.id, startedAt)
        // An endpoint that fails part of its requests need not have run this one.
        if (!isRefusal(head) && isDeliverable(head) && head.status < SERVER_ERROR) onCompleted(isSingleRun = true)
        val answer = body.toByteArray()
        when {
            isRefusal(head) -> onRefused(head, from)
            !isDeliverable(head) -> afterBreak { onAttemptFailed(AttemptEnd.Unknown, unusableReason(head), from.id) }
            head.status in SUCCESS_FIRST..SUCCESS_LAST || head.status < SERVER_ERROR -> deliver(head, answer)
            else -> onAttemptFailed(AttemptEnd.Failed, "endpoint_error", from.id) { deliver(head, answer) }
        }
    }

    private fun onRefused(
        head: ClientEvent.Head,
        from: RelayEndpoint,
    ) {
        if (head.status == MISDIRECTED) context.directory.onReplaced(from.id)
        onAttemptFailed(AttemptEnd.NotRun, "endpoint_refused", from.id)
    }

    private fun deliver(
        head: ClientEvent.Head,
        answer: ByteArray,
    ) {
        context.metrics.onAnswerBegun(elapsed(request.arrivedAt))
        complete(head.status)
        exchange.relay(head.status, context.headers.forCaller(head.headers), answer)
    }

    private fun isSuccess(): Boolean = head?.let { it.status < SERVER_ERROR } ?: false

    private companion object {
        const val SERVER_ERROR = 500
    }
}
