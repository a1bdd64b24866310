package oriolespindle.router.relay

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import oriolespindle.core.crash.BrokenAttempt
import oriolespindle.core.crash.RequestTrait
import oriolespindle.core.id.EndpointId
import oriolespindle.core.relay.AttemptDecision
import oriolespindle.core.relay.AttemptEnd
import oriolespindle.core.relay.AttemptHistory
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.relay.Route
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.Address
import oriolespindle.router.http.ClientCall
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.http.ClientRequest
import oriolespindle.router.http.ConnectionHistory
import oriolespindle.router.http.FailureKind
import oriolespindle.router.http.HttpAnswer
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import java.util.concurrent.ScheduledFuture
import kotlin.time.Duration

/**
 * Relays one request, over all its attempts.
 *
 * Subclasses start the attempts and read their answers. Confined to the event loop.
 */
internal abstract class RelaySession(
    protected val context: RelayContext,
    protected val request: RelayRequest,
) {
    protected val exchange = request.exchange
    protected val history = AttemptHistory()
    protected val avoid = HashSet<EndpointId>()
    protected var call: ClientCall? = null
    protected var ended = false
        private set
    private val connections = ConnectionHistory()
    private var expiryTimer: ScheduledFuture<*>? = null
    private var attemptTimer: ScheduledFuture<*>? = null

    /** The endpoints that take part in the attempt in progress; the first one receives it. */
    private var receivers: List<RelayEndpoint> = emptyList()
    private var sentAt = Timestamp.ZERO

    /** Whether an endpoint may have received the request. */
    private var hasCalled = false

    /** When the request ends at the latest; an instance that stops ends it before it is killed. */
    protected val expiry: Timestamp
        get() = context.requestsEndAt()?.let { minOf(it, request.expiry) } ?: request.expiry

    /** How long the request has taken so far if it is on [route], else null. */
    fun age(route: Route): Duration? = if (request.route.name == route.name) elapsed(request.arrivedAt) else null

    /** Starts the first attempt, or refuses the request if its deadline has passed. */
    fun start() =
        guarded {
            exchange.onClosed = ::onCallerDisconnected
            context.sessions += this
            val remaining = request.expiry - monotonicNow()
            if (remaining <= Duration.ZERO) {
                refuse(reason = "deadline_passed", retryAfter = null)
            } else {
                expiryTimer = context.timers.after(remaining) { guarded { if (!ended) onExpired() } }
                beginAttempt()
            }
        }

    /**
     * Runs one [step] of the request, and ends the request if that fails.
     *
     * Nothing else would answer the caller: a timer or an event of a call that failed does not come again.
     */
    protected fun guarded(step: () -> Unit) = catchingErrors(step, ::onUnexpectedError)

    private fun onUnexpectedError(cause: Throwable) {
        EventLog.warn(
            "request failed unexpectedly",
            "request" to request.id,
            "service" to request.service.id,
            "sends" to history.sends,
            "cause" to cause,
            "at" to cause.stackTrace.firstOrNull(),
        )
        // The same state may make a further step fail, so the answer does not depend on it.
        catchingErrors({
            abandonCall()
            end("failed", RelayAnswers.UNEXPECTED_ERROR)
        }) { EventLog.warn("request was not ended in order", "request" to request.id, "cause" to it) }
        when {
            answerBegun -> exchange.abort()
            hasCalled -> exchange.respond(RelayAnswers.failure(BAD_GATEWAY, RelayAnswers.UNEXPECTED_ERROR))
            else -> exchange.respond(RelayAnswers.refusal(RelayAnswers.UNEXPECTED_ERROR, retryAfter = null))
        }
    }

    /** Starts an attempt, unless endpoints have ended under requests like this one. */
    private fun beginAttempt() {
        val rejection = rejection()
        if (rejection == null) startAttempt() else endRejected(rejection)
    }

    /** Returns why the request must reach no endpoint any more; null if it may. */
    private fun rejection(): Set<RequestTrait>? = context.harmful.rejection(request.traits)

    /** Ends the request if it is among those that are rejected from now on, unless its endpoint answers it. */
    fun onRejectionsAdded() =
        guarded {
            val rejection = if (ended || isRunAnswered) null else rejection()
            if (rejection != null) endRejected(rejection)
        }

    private fun endRejected(rejection: Set<RequestTrait>) {
        EventLog.info("request rejected", "request" to request.id, *traitFields(rejection))
        endWithoutAnswer(RelayAnswers.QUARANTINED, BAD_GATEWAY, context.harmful.rejectedFor(rejection))
    }

    /** Called when an endpoint has begun to answer the request. */
    protected fun onAnswered() = context.harmful.onAnswered(request.traits)

    /** Called when the request is completely answered, by several runs unless [isSingleRun]. */
    protected fun onCompleted(isSingleRun: Boolean) {
        onAnswered()
        context.harmful.onCompleted(request.traits, isSingleRun)
    }

    /** Starts one attempt at an endpoint that may receive the request. */
    protected abstract fun startAttempt()

    /** Whether a part of an answer was sent to the caller, after which the status can no longer change. */
    protected abstract val answerBegun: Boolean

    /** Whether the endpoint of the attempt in progress has evidently survived the beginning of its answer. */
    protected abstract val isRunAnswered: Boolean

    /** Called when an attempt ends or the request ends, possibly without an attempt in progress. */
    protected abstract fun onAttemptEnded()

    /** The endpoint that received the attempt in progress. */
    protected abstract val receiver: EndpointId?

    /** Whether the request may be sent to another endpoint. */
    protected open fun canResend(): Boolean = history.mayAddReceiver(request.route.maxAttempts)

    protected fun mayReceive(endpoint: EndpointId): Boolean = history.mayReceive(endpoint, request.route.maxAttempts)

    /** Whether [headers] may be of the answer to this request; those that bear another id are of an earlier one. */
    private fun isAnswer(headers: HttpHeaders): Boolean = !headers.contains(context.names.requestId) || bearsId(headers)

    private fun bearsId(headers: HttpHeaders): Boolean = headers.get(context.names.requestId) == request.id.value

    /** Whether [head] states that this request did not run; without its id, it may be about an earlier request. */
    protected fun isRefusal(head: ClientEvent.Head): Boolean = statesNotRun(head) && bearsId(head.headers)

    /**
     * Whether an answer with [head] that is no refusal may be passed on.
     *
     * Some statuses tell callers that the request did not run, which the endpoint did not state here.
     */
    protected fun isDeliverable(head: ClientEvent.Head): Boolean =
        isEndpointAnswer(head.headers) && head.status !in NOT_RUN_STATUSES

    /** The reason for an attempt whose answer with [head] is not deliverable. */
    protected fun unusableReason(head: ClientEvent.Head): String =
        when {
            statesNotRun(head) -> "unidentified_refusal"
            isEndpointAnswer(head.headers) -> "unconfirmed_refusal"
            else -> "not_an_endpoint_answer"
        }

    /** Whether [head] states that a request did not run, which need not be this one. */
    protected fun statesNotRun(head: ClientEvent.Head): Boolean =
        head.headers.contains(context.names.notExecuted) || head.status == MISDIRECTED

    /** Whether [headers] are of an endpoint's own answer to this request, with a body as the endpoint sent it. */
    protected fun isEndpointAnswer(headers: HttpHeaders): Boolean =
        headers.contains(context.names.signature) && headers.contains(context.names.requestId) &&
            !headers.contains(HttpHeaderNames.CONTENT_ENCODING)

    protected fun send(
        endpoint: RelayEndpoint,
        headers: List<Pair<String, String>>,
        maxIdle: Duration?,
        /** All endpoints that take part; the request is not sent if one of them has begun to leave meanwhile. */
        receivers: List<RelayEndpoint> = listOf(endpoint),
        listener: (ClientEvent) -> Unit,
    ) {
        val names = context.names
        val remaining = expiry - monotonicNow()
        val ownHeaders =
            headers + (names.deadline to remaining.inWholeMilliseconds.coerceAtLeast(1).toString()) +
                (names.expectedEndpoint to endpoint.id.value) + priorityHeader()
        val outgoing =
            ClientRequest(
                address = Address.parse(endpoint.address),
                method = exchange.method,
                uri = exchange.uri,
                body = exchange.body,
                relayed = context.headers.forEndpoint(exchange.requestHeaders, request.dropKey),
                headers = request.team?.let { ownHeaders + (names.team to it.value) } ?: ownHeaders,
                maxIdle = maxIdle,
                connections = connections,
                notAfter = expiry,
                isWanted = { rejection() == null && receivers.all { context.directory.isInUse(monotonicNow(), it) } },
                isAnswer = ::isAnswer,
                isReusableAfter = ::bearsId,
                onHead = { context.answers.onHead(endpoint, it) },
            )
        var current: ClientCall? = null
        hasCalled = true
        this.receivers = receivers
        sentAt = monotonicNow()
        current =
            context.http.send(outgoing) { event ->
                // Late events of an abandoned attempt are ignored.
                if (!ended && (current == null || current === call)) guarded { listener(event) }
                true
            }
        call = current
    }

    private fun priorityHeader(): List<Pair<String, String>> {
        val name = context.names.priority
        val priority = request.priority
        if (name == null || priority == null) return emptyList()
        return listOf(name to minOf(priority.level, MAX_SENT_PRIORITY).toString())
    }

    /** Runs [action] after [limit] unless the attempt in progress has ended; replaces an earlier [action]. */
    protected fun watchAttempt(
        limit: Duration,
        action: () -> Unit,
    ) {
        attemptTimer?.cancel(false)
        val timedCall = call
        attemptTimer = context.timers.after(limit) { guarded { if (!ended && call === timedCall) action() } }
    }

    protected fun stopWatching() {
        attemptTimer?.cancel(false)
        attemptTimer = null
    }

    /**
     * Cancels the call in progress, whose later events are ignored; [silentEndpoint] is why, unless null.
     *
     * Endpoints in [ended] are known to have ended under it.
     */
    protected fun abandonCall(
        silentEndpoint: EndpointId? = null,
        ended: Set<EndpointId> = emptySet(),
    ) {
        stopWatching()
        val dropped = call
        call = null
        if (dropped?.sent == true) {
            context.losses.onAbandoned(receivers.filter { it.id !in ended }, brokenAttempt(), silentEndpoint)
        }
        dropped?.cancel()
    }

    protected fun brokenAttempt(): BrokenAttempt = BrokenAttempt(request.traits.all, isBegun = isRunAnswered, sentAt)

    /**
     * Calls [next] after the answer has broken off or made no sense, so that the endpoint may have ended.
     *
     * A request that the endpoint had not begun to answer, or under which another one has ended before, waits until it
     * is known whether the endpoint has ended, since the request may be the cause and must not end another one.
     */
    protected fun afterBreak(next: () -> Unit) {
        if (isRunAnswered && !context.harmful.isSuspected(request.traits)) {
            context.losses.onBroken(receivers, brokenAttempt()) {}
            next()
            return
        }
        val brokenCall = call
        stopWatching()
        context.losses.onBroken(receivers, brokenAttempt()) {
            guarded { if (!ended && call === brokenCall) next() }
        }
    }

    /** Decides what follows an attempt without a usable answer; [reason] appears in logs and metrics. */
    protected fun onAttemptFailed(
        end: AttemptEnd,
        reason: String,
        endpoint: EndpointId?,
        deliver: () -> Unit = {},
    ) {
        stopWatching()
        call = null
        history.onAttemptEnded(end, receiver)
        onAttemptEnded()
        endpoint?.let(avoid::add)
        val decision =
            context.policy.decide(
                now = monotonicNow(),
                route = request.route,
                service = request.service.id,
                history = history,
                end = end,
                expiry = expiry,
                canResend = canResend(),
                answerBegun = answerBegun,
            )
        EventLog.info(
            "attempt failed",
            "request" to request.id,
            "endpoint" to endpoint,
            "end" to end,
            "reason" to reason,
            "sends" to history.sends,
            "decision" to decision,
            *context.contactFields(),
        )
        perform(decision, reason, deliver)
    }

    private fun perform(
        decision: AttemptDecision,
        reason: String,
        deliver: () -> Unit = {},
    ) {
        when (decision) {
            AttemptDecision.Retry -> retry(reason)
            is AttemptDecision.RetryLater -> retryLater(decision.delay, reason)
            AttemptDecision.Deliver -> deliver()
            is AttemptDecision.Refuse -> if (answerBegun) abort(reason) else refuse(reason, retryAfter(decision))
            AttemptDecision.Fail -> if (answerBegun) abort(reason) else fail(BAD_GATEWAY, reason)
        }
    }

    /** Ends an attempt without an endpoint; the request is refused at once if only paused endpoints could serve it. */
    protected fun onNoEndpoint(reason: String) {
        val pause = if (answerBegun || history.mayHaveRun) null else commonPause()
        if (pause != null) {
            refuse("endpoints_paused", spread(pause))
        } else {
            onAttemptFailed(AttemptEnd.NotSent, reason, endpoint = null)
        }
    }

    /** Returns the time until requests can be served again, or null unless only paused endpoints could serve them. */
    protected open fun commonPause(): Duration? {
        val now = monotonicNow()
        val service = request.service.id
        return context.directory
            .paused(now, service)
            .values
            .minOrNull()
            ?.takeIf { context.directory.usable(now, service).isEmpty() }
    }

    private fun retryAfter(decision: AttemptDecision.Refuse): Duration =
        commonPause()?.let(::spread) ?: decision.retryAfter

    /**
     * Returns a delay for the caller from the end of a [pause] on.
     *
     * It depends on the request's id, so that the callers of a pause do not all return at its end. It is bounded, since
     * the pause concerns this instance alone and callers return to any.
     */
    private fun spread(pause: Duration): Duration = increasedById(minOf(pause, context.times.maxRetryAfterPause))

    /** Returns [delay] plus up to half of it, which depends on the request's id. */
    protected fun increasedById(delay: Duration): Duration {
        val fraction = Math.floorMod(request.id.value.hashCode(), SPREAD_STEPS) / SPREAD_STEPS.toDouble()
        return delay * (1 + MAX_SPREAD * fraction)
    }

    private fun retry(reason: String) {
        context.metrics.onRetry(reason)
        beginAttempt()
    }

    private fun retryLater(
        delay: Duration,
        reason: String,
    ) = watchAttempt(delay) {
        val service = request.service.id
        perform(context.policy.decideResumption(monotonicNow(), service, history, expiry), reason)
    }

    /** Whether the attempt in progress, which may have run, may be replaced; otherwise its answer is awaited. */
    protected fun mayReplaceAttempt(): Boolean =
        context.policy.mayReplace(
            now = monotonicNow(),
            route = request.route,
            service = request.service.id,
            history = history,
            expiry = expiry,
            canResend = canResend(),
        )

    /** Answers that the request did not run and will not run. */
    protected fun refuse(
        reason: String,
        retryAfter: Duration?,
    ) {
        context.metrics.onRefused(reason, request.priority)
        end(REFUSED, reason)
        exchange.respond(RelayAnswers.refusal(reason, retryAfter))
    }

    /** Answers that the request may have run. */
    protected fun fail(
        status: Int,
        reason: String,
    ) {
        end("failed", reason)
        exchange.respond(RelayAnswers.failure(status, reason))
    }

    /** Aborts a partially sent answer so that the caller can tell that it is incomplete. */
    protected fun abort(reason: String) {
        end("cut", reason)
        exchange.abort()
    }

    protected fun complete(status: Int) = end(DONE, status.toString())

    private fun end(
        outcome: String,
        detail: String,
    ) {
        if (ended) return
        ended = true
        context.sessions -= this
        val endpoint = receiver
        stopWatching()
        expiryTimer?.cancel(false)
        onAttemptEnded()
        val duration = monotonicNow() - request.arrivedAt
        context.metrics.onRequestEnded(outcome, duration)
        if (outcome != REFUSED) {
            context.durations.onEnded(request.route.name, request.service.id, duration, isComplete = outcome == DONE)
        }
        EventLog.info(
            "request ended",
            "request" to request.id,
            "route" to request.route.name,
            "service" to request.service.id,
            "outcome" to outcome,
            "detail" to detail,
            "endpoint" to endpoint,
            "sends" to history.sends,
            "millis" to duration.inWholeMilliseconds,
            "configuration" to context.configuration.current?.version,
            *context.contactFields(),
        )
    }

    private fun onExpired() = endWithoutAnswer("timeout", GATEWAY_TIMEOUT, retryAfter = null)

    /** Ends the request, since the process is about to be killed. */
    fun onInstanceStops() =
        guarded {
            if (!ended) endWithoutAnswer(RelayAnswers.STOPPING, BAD_GATEWAY, retryAfter = Duration.ZERO)
        }

    private fun endWithoutAnswer(
        reason: String,
        statusIfSent: Int,
        retryAfter: Duration?,
    ) {
        val sent = history.mayHaveRun || call?.sent == true
        abandonCall()
        when {
            answerBegun -> abort(reason)
            sent -> fail(statusIfSent, reason)
            else -> refuse(reason, retryAfter)
        }
    }

    private fun onCallerDisconnected() =
        guarded {
            if (!ended) {
                abandonCall()
                end(LEFT, "caller closed the connection")
            }
        }

    protected fun elapsed(since: Timestamp): Duration = monotonicNow() - since

    protected companion object {
        private const val DONE = "done"
        private const val REFUSED = "refused"
        private const val LEFT = "left"
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        const val MISDIRECTED = 421

        /** The statuses by which callers know that a request did not run and will not run. */
        val NOT_RUN_STATUSES = setOf(408, MISDIRECTED, 429, 503)
        const val SUCCESS_FIRST = 200
        const val SUCCESS_LAST = 299
        private const val SPREAD_STEPS = 1_000
        private const val MAX_SPREAD = 0.5

        /** Endpoints know the priorities 0 to 9. */
        private const val MAX_SENT_PRIORITY = 9

        /** Maps a failure of the HTTP client; only a request that was never sent certainly did not run. */
        fun endOf(event: ClientEvent.Failed): AttemptEnd = if (event.sent) AttemptEnd.Unknown else AttemptEnd.NotSent

        /** Whether the answer broke off or made no sense, which the end of the endpoint may have caused. */
        fun isBreak(event: ClientEvent.Failed): Boolean =
            event.sent && (event.kind == FailureKind.CONNECTION_LOST || event.kind == FailureKind.MALFORMED)

        /** Whether a failure points to the whole endpoint rather than to one connection or request. */
        fun concernsEndpoint(event: ClientEvent.Failed): Boolean =
            event.kind == FailureKind.CONNECT_FAILED || event.kind == FailureKind.CONNECTION_LOST
    }
}
