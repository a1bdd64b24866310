package oriolespindle.router.relay

import io.netty.handler.codec.http.HttpHeaderNames
import oriolespindle.core.id.EndpointId
import oriolespindle.core.placement.LayerPath
import oriolespindle.core.placement.ModelLayout
import oriolespindle.core.relay.AttemptEnd
import oriolespindle.core.relay.EventFramer
import oriolespindle.core.relay.EventVerdict
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.relay.StreamPosition
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import java.io.ByteArrayOutputStream

/**
 * A request whose answer is a stream of events from a path of engines.
 *
 * Only whole events are passed on. A broken run of a resumable stream is followed by one that goes on after the last
 * event, within the same answer.
 */
internal class StreamSession(
    context: RelayContext,
    request: RelayRequest,
    private val model: ModelLayout?,
) : RelaySession(context, request) {
    private val framer = EventFramer()
    private val position = StreamPosition(exchange.header(LAST_EVENT_ID)?.trim()?.toLongOrNull())
    private val failureBody = ByteArrayOutputStream()
    private val tokens = requestTokens()
    private var path: LayerPath? = null
    private var first: RelayEndpoint? = null
    private var head: ClientEvent.Head? = null
    private var forwarded = 0

    /** Whether all layers have endpoints, though those may have as much work as they can do. */
    private var hasPath = false
    private var startedAt = Timestamp.ZERO
    private var lastEventAt = Timestamp.ZERO
    private var awaitsFirstEvent = false

    override val answerBegun: Boolean get() = forwarded > 0

    override val receiver: EndpointId? get() = first?.id

    /** Another path may begin at an endpoint that has received the request before. */
    override fun canResend(): Boolean = model != null || super.canResend()

    override fun attempt() {
        val target = chooseTarget()
        if (target == null) {
            noTarget()
            return
        }
        first = target
        startedAt = monotonicNow()
        awaitsFirstEvent = true
        context.concurrency.onStreamStarted(target.id)
        head = null
        framer.reset()
        failureBody.reset()
        if (answerBegun) position.onResumed()
        path?.let { context.load.onRequestStarted(it, tokens) }
        exchange.onWritable = { writable -> if (writable) call?.resumeReading() else call?.pauseReading() }
        send(target, pathHeaders(), maxIdle = null, ::handle)
        lastEventAt = startedAt
        context.streams += this
        watchAttempt(context.times.firstEvent, ::stalled)
    }

    /** Another stream has found that [culprit] does not answer, so a stream that waits for it need not find out. */
    fun endpointLost(culprit: EndpointId) {
        val waits = elapsed(lastEventAt) >= context.times.quiet && canGoOnElsewhere()
        if (!ended && waits && path?.parts?.any { it.endpoint.id == culprit } == true) giveUp(culprit)
    }

    /** Returns the endpoint to send to; for a model it is the first of a path, which is kept in [path]. */
    private fun chooseTarget(): RelayEndpoint? {
        val now = monotonicNow()
        val endpoints = context.directory.usable(now, request.service.id)
        if (model == null) return context.selector.choose(now, endpoints.filter { mayReceive(it.id) }, avoid)
        val isOpen = { endpoint: EndpointId ->
            mayReceive(endpoint) && (answerBegun || context.concurrency.canStart(endpoint))
        }
        // A begun answer is worth another try at an endpoint that has failed before; a refusal tells the caller more.
        path =
            context.paths.find(model, endpoints, ::load, avoid, ::pace, isOpen)
                ?: context.paths.find(model, endpoints, ::load, emptySet(), ::pace, isOpen).takeIf { answerBegun }
        hasPath = path != null || context.paths.find(model, endpoints, ::load) != null
        return path?.first
    }

    private fun noTarget() {
        if (hasPath && !history.mayHaveRun) {
            refuse("overloaded", context.times.retryAfterOverload)
        } else {
            attemptFailed(AttemptEnd.NotSent, "no_path", endpoint = null)
        }
    }

    override fun attemptEnded() {
        path?.let { context.load.onRequestEnded(it, tokens) }
        path = null
        first?.let { context.concurrency.onStreamEnded(it.id) }
        context.streams -= this
        first = null
    }

    private fun pathHeaders(): List<Pair<String, String>> {
        val parts = path?.parts?.joinToString(",") { "${it.endpoint.address}=${it.layers.first}-${it.layers.end}" }
        val resume = position.last?.takeIf { answerBegun }?.let { LAST_EVENT_ID to it.toString() }
        return listOfNotNull(resume, parts?.let { context.names.path to it })
    }

    private fun handle(event: ClientEvent) {
        when (event) {
            is ClientEvent.Head -> head = event
            is ClientEvent.Data -> if (isStream()) events(event.bytes) else failureBody.writeBytes(event.bytes)
            is ClientEvent.End -> head?.let(::completed)
            is ClientEvent.Failed -> broken(event)
        }
    }

    private fun isStream(): Boolean {
        val current = head ?: return false
        val signed = current.headers.contains(context.names.signature)
        val encoded = current.headers.contains(HttpHeaderNames.CONTENT_ENCODING)
        return current.status in SUCCESS_FIRST..SUCCESS_LAST && signed && !encoded
    }

    private fun events(bytes: ByteArray) {
        for (record in framer.feed(bytes)) {
            when (position.accept(record.id)) {
                EventVerdict.FORWARD -> {
                    forward(record.bytes)
                }

                EventVerdict.DUPLICATE -> {
                    Unit
                }

                EventVerdict.GAP -> {
                    dropCall()
                    attemptFailed(AttemptEnd.Unknown, "event_missing", first?.id)
                    return
                }
            }
        }
    }

    private fun forward(event: ByteArray) {
        if (forwarded == 0) {
            context.metrics.answered(elapsed(request.arrived))
            val first = checkNotNull(head)
            exchange.beginRelay(first.status, context.headers.forCaller(first.headers))
        }
        forwarded++
        lastEventAt = monotonicNow()
        measureFirstEvent()
        path?.parts?.forEach { context.directory.onSuccess(it.endpoint.id, startedAt) }
            ?: first?.let { context.directory.onSuccess(it.id, startedAt) }
        exchange.writeChunk(event)
        watchAttempt(context.times.eventGap, ::stalled)
    }

    private fun measureFirstEvent() {
        if (!awaitsFirstEvent) return
        awaitsFirstEvent = false
        val target = first ?: return
        val objective = request.route.objective ?: return
        val latency = elapsed(startedAt)
        val isLate = context.concurrency.isLate(latency, objective)
        if (isLate) askPaces()
        // The first endpoint is not to blame for a slow one behind it that new streams pass by.
        if (isLate && isPassedBy()) {
            context.concurrency.onDelayedElsewhere(monotonicNow(), target.id)
        } else {
            context.concurrency.onFirstEvent(monotonicNow(), target.id, latency, objective)
        }
    }

    private fun askPaces() {
        path?.parts?.map { it.endpoint.id }?.let(context.paceInquiry::suspect)
    }

    /** Whether the path has a slow endpoint, and new streams find a path without one. */
    private fun isPassedBy(): Boolean {
        val current = path ?: return false
        val layout = model ?: return false
        if (current.parts.none { pace(it.endpoint.id) > 1.0 }) return false
        val endpoints = context.directory.usable(monotonicNow(), request.service.id)
        val next = context.paths.find(layout, endpoints, ::load, pace = ::pace) ?: return false
        return next.parts.none { pace(it.endpoint.id) > 1.0 }
    }

    private fun pace(endpoint: EndpointId): Double = context.paces.factor(monotonicNow(), endpoint)

    private fun completed(head: ClientEvent.Head) {
        val first = first ?: return
        val refused = head.headers.contains(context.names.notExecuted) || head.status == MISDIRECTED
        val signed = head.headers.contains(context.names.signature)
        when {
            refused -> notRun(head, first)
            isStream() -> streamEnded(first.id)
            !signed -> attemptFailed(AttemptEnd.Unknown, "not_an_endpoint_answer", first.id)
            answerBegun -> attemptFailed(AttemptEnd.Failed, "endpoint_error", first.id) { cut("endpoint_error") }
            else -> attemptFailed(AttemptEnd.Failed, "endpoint_error", first.id) { deliverFailure(head) }
        }
    }

    private fun streamEnded(first: EndpointId) {
        if (framer.hasPartialEvent) {
            attemptFailed(AttemptEnd.Unknown, "event_cut", first)
            return
        }
        val current = checkNotNull(head)
        if (forwarded == 0) exchange.beginRelay(current.status, context.headers.forCaller(current.headers))
        done(current.status)
        exchange.endStream()
    }

    private fun deliverFailure(head: ClientEvent.Head) {
        done(head.status)
        exchange.relay(head.status, context.headers.forCaller(head.headers), failureBody.toByteArray())
    }

    private fun notRun(
        head: ClientEvent.Head,
        first: RelayEndpoint,
    ) {
        val faulty = head.headers.get(context.names.faultyEndpoint)?.let(context.directory::findByAddress) ?: first
        context.directory.onRefusal(monotonicNow(), faulty.id)
        attemptFailed(AttemptEnd.NotRun, "endpoint_refused", faulty.id)
    }

    private fun broken(event: ClientEvent.Failed) {
        val first = first?.id
        if (first != null && concernsEndpoint(event)) context.directory.onFailure(monotonicNow(), first)
        attemptFailed(endOf(event), event.kind.name.lowercase(), first)
    }

    /** Whether the stream may be given up here; one that cannot run again is left to its endpoint. */
    private fun canGoOnElsewhere(): Boolean =
        call?.sent != true || (request.route.isRetryable && history.runs + 1 < request.route.maxAttempts)

    /** No event arrived in time; the first endpoint knows whether it waits for another one. */
    private fun stalled() {
        val target = first ?: return
        measureFirstEvent()
        askPaces()
        if (!canGoOnElsewhere()) return
        if (call?.sent != true || model == null) {
            giveUp(target.id)
            return
        }
        val asked = call
        val eventsBefore = forwarded
        val isCurrent = { !ended && call === asked && forwarded == eventsBefore }
        watchAttempt(context.times.askAgain) {
            val patienceOver = elapsed(lastEventAt) >= context.times.patience
            if (patienceOver) giveUp(target.id) else stalled()
        }
        context.engines.stalledAt(target, request.id.value) { report ->
            if (isCurrent()) {
                EventLog.info(
                    "stream makes no progress",
                    "request" to request.id,
                    "first" to target.id,
                    "report" to report,
                )
                when (report) {
                    is StallReport.WaitsFor -> lost(context.directory.findByAddress(report.address)?.id ?: target.id)
                    StallReport.Alive -> Unit
                    StallReport.NoAnswer -> lost(target.id)
                }
            }
        }
    }

    private fun lost(culprit: EndpointId) {
        context.directory.onReportedLost(monotonicNow(), culprit)
        giveUp(culprit)
        context.streams.toList().forEach { it.endpointLost(culprit) }
    }

    private fun giveUp(culprit: EndpointId) {
        val sent = call?.sent == true
        context.directory.onFailure(monotonicNow(), culprit)
        dropCall()
        attemptFailed(if (sent) AttemptEnd.Unknown else AttemptEnd.NotSent, "stalled", culprit)
    }

    private fun load(endpoint: EndpointId): Double {
        val registered = context.directory.find(endpoint)
        val layers = registered?.layers?.size
        val accelerator = model?.accelerators?.get(registered?.accelerator)
        if (model == null || accelerator == null || layers == null) return 1.0
        return context.load.utilization(model, accelerator, endpoint, layers)
    }

    /** The caller's prompt and the usual answer, if it allows one that long. */
    private fun requestTokens(): Int {
        val parts = exchange.header(context.names.tokens)?.split(',').orEmpty()
        val usualAnswer = model?.typicalAnswerTokens ?: 0
        val prompt = parts.getOrNull(0)?.trim()?.toIntOrNull() ?: model?.typicalPromptTokens ?: 0
        val answer = parts.getOrNull(1)?.trim()?.toIntOrNull() ?: usualAnswer
        return prompt + minOf(answer, usualAnswer)
    }

    private companion object {
        const val LAST_EVENT_ID = "Last-Event-ID"
    }
}
