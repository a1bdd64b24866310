package oriolespindle.router.relay

import oriolespindle.core.crash.BrokenAttempt
import oriolespindle.core.failover.Finding
import oriolespindle.core.failover.ProbeCause
import oriolespindle.core.failover.SilenceLimit
import oriolespindle.core.failover.StreamState
import oriolespindle.core.id.EndpointId
import oriolespindle.core.placement.LayerPath
import oriolespindle.core.placement.ModelLayout
import oriolespindle.core.relay.AttemptEnd
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.relay.StreamFault
import oriolespindle.core.relay.StreamPart
import oriolespindle.core.relay.StreamPosition
import oriolespindle.core.relay.StreamReader
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration

/**
 * Relays a request whose answer is a stream of events, from a path of engines or from a plain service.
 *
 * Only complete events are forwarded. When a run of a resumable stream breaks off, another run resumes after the last
 * forwarded event, within the same answer.
 */
internal class StreamSession(
    context: RelayContext,
    request: RelayRequest,
    private val model: ModelLayout?,
) : RelaySession(context, request) {
    private val position = StreamPosition(exchange.header(LAST_EVENT_ID)?.trim()?.toLongOrNull())

    /** Whether the caller has received events of the answer before this request. */
    private val isResumedByCaller = position.last != null
    private val reader = StreamReader(position, quota = context.http.buffers)
    private val failureBody = context.http.newAnswerBuffer()
    private val tokens =
        expectedTokens(
            header = exchange.header(context.names.tokens),
            model = model,
            lengthHint = context.lengthHintName?.let(exchange::header),
        )
    private val slotRequest: SlotRequest? =
        request.priority?.let { priority ->
            SlotRequest(request, priority, tokens, ::startWaiting) { refuseWaiting(it) }
        }
    private val paths = model?.let { StreamPaths(context, request.service.id, it) }
    private val firstEventLatency = FirstEventLatency(context, request, paths)
    private var path: LayerPath? = null
    private var first: RelayEndpoint? = null
    private var head: ClientEvent.Head? = null
    private val continuation = StreamContinuation()
    private var forwardedEvents = 0

    /** Whether an event of the run in progress was forwarded, so that it is known to continue the answer. */
    private val hasJoined: Boolean get() = reader.runEvents > 0

    override val isRunAnswered: Boolean get() = reader.runEvents >= EVENTS_OF_ANSWER

    /** Whether the run in progress has sent any byte of a body. */
    private var hasBody = false

    /** Whether endpoints for all layers exist, even if they are at capacity. */
    private var hasPath = false
    private var startedAt = Timestamp.ZERO
    private var lastEventAt = Timestamp.ZERO

    /** Whether the stream is moved as soon as an endpoint of its path is found to have ended. */
    private val hasFailover = model != null && request.route.maxEventGap != null
    private val silence = SilenceLimit()

    /** When the last event before a move was forwarded; null unless the next event is awaited since. */
    private var movedSince: Timestamp? = null

    override val answerBegun: Boolean get() = forwardedEvents > 0

    override val receiver: EndpointId? get() = first?.id

    /** A begun answer, and a model's request over another path, may return to an endpoint that has received it. */
    override fun canResend(): Boolean = model != null || answerBegun || super.canResend()

    override fun startAttempt() {
        val waiting = slotRequest
        if (waiting != null && mayWait && context.admission.goesAhead(waiting)) {
            waitForSlot(waiting, isUntried = true)
            return
        }
        val target = chooseTarget()
        if (target == null) {
            onNoTarget()
        } else {
            startAt(target)
        }
    }

    private fun startAt(target: RelayEndpoint) {
        slotRequest?.let(context.admission::onStarted)
        first = target
        startedAt = monotonicNow()
        firstEventLatency.onRunStarted()
        context.concurrency.onStreamStarted(startedAt, target.id)
        head = null
        hasBody = false
        reader.onRunStarted(isResumed = answerBegun)
        path?.let {
            context.load.onRequestStarted(it, tokens)
            if (it.parts.any { part -> part.endpoint.zone != context.zone }) context.metrics.onSentToOtherZone()
        }
        exchange.onWritable = ::onCallerWritable
        val receivers = path?.parts?.map { it.endpoint } ?: listOf(target)
        send(target, pathHeaders(), maxIdle = null, receivers, ::onEvent)
        lastEventAt = startedAt
        context.streams += this
        watchAttempt(context.times.firstEventTimeout, ::onStalled)
        silence.onWaitStarted(startedAt)
        if (hasFailover) context.failover.watchSilence()
    }

    /** Stops reading from the endpoint while the caller does not take what was written for it. */
    private fun onCallerWritable(writable: Boolean) {
        if (!writable) {
            call?.pauseReading()
            return
        }
        lastEventAt = monotonicNow()
        silence.onWaitStarted(lastEventAt)
        call?.resumeReading()
    }

    /** Has the endpoints of the path probed if no event has arrived for some time. */
    fun probeIfSilent(now: Timestamp) {
        // While the caller does not read, the time without an event tells nothing about the endpoints.
        if (!hasFailover || call == null || !exchange.isWritable || silence.remaining(now) > Duration.ZERO) return
        silence.onProbed(now)
        path?.parts?.forEach { context.failover.probe(it.endpoint, ProbeCause.SILENCE) }
    }

    /** Whether the attempt in progress depends on this process of [endpoint] and may be moved from it. */
    fun dependsOn(endpoint: RelayEndpoint): Boolean =
        hasFailover && !ended && call != null &&
            path?.parts?.any { it.endpoint.id == endpoint.id && it.endpoint.startedAt == endpoint.startedAt } == true

    /** The attempt in progress if it may have reached its endpoints, else null. */
    fun sentAttempt(): BrokenAttempt? = if (call?.sent == true) brokenAttempt() else null

    /** The time since the last event, or since the start of the run. */
    val sinceLastEvent: Duration get() = elapsed(lastEventAt)

    /** Sends the request elsewhere if that is allowed, because of [finding] about [lost]; returns whether it is. */
    fun moveFrom(
        lost: RelayEndpoint,
        finding: Finding,
        endedEndpoints: Set<EndpointId> = emptySet(),
    ): Boolean {
        var isMoved = false
        guarded {
            isMoved = dependsOn(lost) && context.failover.mayMove(finding, stateWithout(lost.id))
            if (isMoved) {
                val sent = call?.sent == true
                if (answerBegun) movedSince = lastEventAt
                if (finding == Finding.SILENT) abandonCall(lost.id) else abandonCall(ended = endedEndpoints)
                val reason = "endpoint_${finding.name.lowercase()}"
                onAttemptFailed(if (sent) AttemptEnd.Unknown else AttemptEnd.NotSent, reason, lost.id)
            }
        }
        return isMoved
    }

    private fun stateWithout(lost: EndpointId) =
        object : StreamState {
            override val isRead get() = exchange.isWritable
            override val silence get() = sinceLastEvent
            override val isAnswered get() = isRunAnswered
            override val isSuspected get() = context.harmful.isSuspected(request.traits)
            override val mayRunAgain get() = canRestartElsewhere()
            override val hasOtherPath get() = hasAlternative(lost)
        }

    /** Called when another stream has found that [faulty] does not answer; abandons an attempt that waits for it. */
    fun onEndpointLost(faulty: EndpointId) =
        guarded {
            val mayAbandon = elapsed(lastEventAt) >= context.times.minSilence && canRestartElsewhere()
            if (!ended && mayAbandon && path?.parts?.any { it.endpoint.id == faulty } == true) abandonAttempt(faulty)
        }

    /** Returns the endpoint to send to; for a model it is the first of a path, which is stored in [path]. */
    private fun chooseTarget(): RelayEndpoint? {
        val now = monotonicNow()
        // Only a begun answer is retried at endpoints that failed before; otherwise a refusal tells the caller more.
        if (paths == null) {
            val candidates = context.directory.usable(now, request.service.id).filter { mayReceive(it.id) }
            return context.selector.choose(now, candidates, avoid)
                ?: context.selector.choose(now, candidates, emptySet()).takeIf { answerBegun }
        }
        val isOpen = { endpoint: EndpointId ->
            mayReceive(endpoint) && (answerBegun || context.concurrency.canStart(now, endpoint))
        }
        path = paths.choose(avoid, isOpen) ?: paths.choose(emptySet(), isOpen).takeIf { answerBegun }
        hasPath = path != null || paths.exists()
        return path?.first
    }

    private fun onNoTarget() {
        val waiting = slotRequest
        when {
            !hasPath || !mayWait -> onNoEndpoint("no_path")
            waiting != null -> waitForSlot(waiting, isUntried = false)
            else -> refuse("overloaded", context.times.retryAfterOverload)
        }
    }

    /** Whether the request has certainly not run, so that it may wait and be refused afterwards. */
    private val mayWait: Boolean get() = !history.mayHaveRun && !answerBegun

    private fun waitForSlot(
        waiting: SlotRequest,
        isUntried: Boolean,
    ) {
        if (hasPathLeft()) {
            context.admission.offer(waiting, waiting.limits(context.firstEvents, expiry), isUntried)
        } else {
            refuse("overloaded", context.times.retryAfterOverload)
        }
    }

    /** Whether some path is left to wait for, after attempts that have failed. */
    private fun hasPathLeft(): Boolean = !hasFailedAttempts || paths?.exists(avoid, ::mayReceive) == true

    /** Starts the first waiting stream in order if a slot is free, and ends its wait if it cannot be served. */
    private fun startWaiting() =
        guarded {
            val target = chooseTarget()
            if (target != null) {
                startAt(target)
            } else if (!hasPath) {
                slotRequest?.let(context.admission::remove)
                onNoTarget()
            } else if (isSlotOfOthers()) {
                refuse("overloaded", increasedById(context.times.retryAfterOverload))
            }
        }

    private fun refuseWaiting(retryAfter: Duration) =
        guarded { if (!ended) refuse("overloaded", increasedById(retryAfter)) }

    /** Whether a slot is free that this request may not use after its earlier attempts; it would block all others. */
    private fun isSlotOfOthers(): Boolean =
        hasFailedAttempts && paths?.exists { context.concurrency.canStart(monotonicNow(), it) } == true

    private val hasFailedAttempts: Boolean get() = avoid.isNotEmpty() || history.sends > 0

    /** For a model, the pause of the path that can be used if paused endpoints count as usable, and not otherwise. */
    override fun commonPause(): Duration? = if (paths == null) super.commonPause() else paths.commonPause()

    override fun onAttemptEnded() {
        path?.let { context.load.onRequestEnded(it, tokens) }
        path = null
        failureBody.clear()
        reader.onRunEnded()
        slotRequest?.let(context.admission::remove)
        first?.let {
            context.concurrency.onStreamEnded(monotonicNow(), it.id)
            context.admission.evaluateSoon(request.service.id)
        }
        context.streams -= this
        first = null
    }

    private fun pathHeaders(): List<Pair<String, String>> {
        val parts = path?.parts?.joinToString(",") { "${it.endpoint.address}=${it.layers.first}-${it.layers.end}" }
        val resume = position.last?.takeIf { answerBegun }?.let { LAST_EVENT_ID to it.toString() }
        return listOfNotNull(resume, parts?.let { context.names.path to it })
    }

    private fun onEvent(event: ClientEvent) {
        when (event) {
            is ClientEvent.Head -> head = event
            is ClientEvent.Data -> onData(event.bytes)
            is ClientEvent.End -> head?.let(::onCompleted)
            is ClientEvent.Failed -> onFailure(event)
        }
    }

    /** Whether the attempt's answer is the stream of this request and continues what the caller has received. */
    private fun isStream(): Boolean {
        val current = head ?: return false
        val isSuccess = current.status in SUCCESS_FIRST..SUCCESS_LAST && !statesNotRun(current)
        return isSuccess && isEndpointAnswer(current.headers) && continuation.accepts(current)
    }

    private fun onData(bytes: ByteArray) {
        hasBody = true
        if (isStream()) {
            forward(reader.read(bytes))
        } else if (!failureBody.append(bytes)) {
            endRun(StreamFault.ANSWER_TOO_LARGE)
        }
    }

    /** Passes [part] on in one write, since a write for each of many small events would hold up other requests. */
    private fun forward(part: StreamPart) {
        if (part.events > 0) onEvents(part.events)
        if (part.bytes.isNotEmpty()) exchange.writeChunk(part.bytes)
        val fault = part.fault
        if (fault != null && !ended) endRun(fault)
    }

    /** Ends the run that cannot go on because of [fault]. */
    private fun endRun(fault: StreamFault) {
        val faulty = first?.id
        if (fault == StreamFault.NO_PROGRESS) faulty?.let { context.directory.onEndlessAnswer(monotonicNow(), it) }
        abandonCall()
        onAttemptFailed(AttemptEnd.Unknown, fault.name.lowercase(), faulty)
    }

    /** Called before [count] events of the run in progress are passed on. */
    private fun onEvents(count: Int) {
        if (forwardedEvents == 0) {
            context.firstEvents.onFirstEvent(request.route.name, elapsed(startedAt))
            context.metrics.onAnswerBegun(elapsed(request.arrivedAt))
            beginAnswer(checkNotNull(head))
        }
        forwardedEvents += count
        if (isRunAnswered && reader.runEvents - count < EVENTS_OF_ANSWER) onAnswered()
        lastEventAt = monotonicNow()
        silence.onEvents(lastEventAt)
        movedSince?.let { context.metrics.onMovedStreamGoesOn(lastEventAt - it) }
        movedSince = null
        first?.let(context.losses::onSignOfLife)
        recordFirstEventLatency()
        path?.parts?.forEach { context.directory.onSuccess(it.endpoint.id, startedAt) }
            ?: first?.let { context.directory.onSuccess(it.id, startedAt) }
        watchAttempt(context.times.eventTimeout, ::onStalled)
    }

    private fun beginAnswer(head: ClientEvent.Head) {
        continuation.onBegun(head)
        exchange.beginRelay(head.status, context.headers.forCaller(head.headers))
    }

    private fun recordFirstEventLatency() = firstEventLatency.record(first, path, startedAt)

    private fun onCompleted(head: ClientEvent.Head) {
        val first = first ?: return
        val failure = failureBody.toByteArray()
        when {
            isRefusal(head) -> {
                onRefused(head, first)
            }

            isStream() -> {
                onStreamEnded(first)
            }

            !isDeliverable(head) -> {
                probeFirst()
                afterBreak { onAttemptFailed(AttemptEnd.Unknown, unusableReason(head), first.id) }
            }

            head.status in SUCCESS_FIRST..SUCCESS_LAST -> {
                onAttemptFailed(AttemptEnd.Unknown, "not_a_continuation", first.id)
            }

            answerBegun -> {
                onAttemptFailed(AttemptEnd.Failed, "endpoint_error", first.id) { abort("endpoint_error") }
            }

            else -> {
                onAttemptFailed(AttemptEnd.Failed, "endpoint_error", first.id) { deliverFailure(head, failure) }
            }
        }
    }

    private fun onStreamEnded(first: RelayEndpoint) {
        val current = checkNotNull(head)
        if (reader.hasPartialEvent) {
            onBrokenOff(current, first, "event_cut")
            return
        }
        val isEmpty = !hasBody && continuation.hasExplicitEnd(current)
        if (!hasJoined && !isEmpty) {
            onBrokenOff(current, first, "no_events")
            return
        }
        if (!answerBegun) beginAnswer(current)
        onCompleted(isSingleRun = !isResumedByCaller && reader.runEvents == forwardedEvents)
        complete(current.status)
        exchange.endStream()
    }

    /** Ends a run that is not complete; without an explicit end, its endpoint may have ended with the connection. */
    private fun onBrokenOff(
        head: ClientEvent.Head,
        first: RelayEndpoint,
        reason: String,
    ) {
        val next = { onAttemptFailed(AttemptEnd.Unknown, reason, first.id) }
        if (continuation.hasExplicitEnd(head)) {
            next()
        } else {
            probeFirst()
            afterBreak(next)
        }
    }

    /** Has the path's first endpoint probed, since it may have ended and other streams may depend on it. */
    private fun probeFirst() {
        if (hasFailover) first?.let { context.failover.probe(it, ProbeCause.BREAK) }
    }

    private fun deliverFailure(
        head: ClientEvent.Head,
        body: ByteArray,
    ) {
        complete(head.status)
        exchange.relay(head.status, context.headers.forCaller(head.headers), body)
    }

    private fun onRefused(
        head: ClientEvent.Head,
        first: RelayEndpoint,
    ) {
        val faulty = head.headers.get(context.names.faultyEndpoint)?.let(context.directory::findByAddress) ?: first
        val now = monotonicNow()
        context.directory.onRefusal(now, faulty.id)
        context.refusalSharing.onRefusal(now, first, faulty)?.let(context.shareRefusal)
        if (hasFailover && faulty.id != first.id) context.failover.probe(faulty, ProbeCause.REFUSAL)
        onAttemptFailed(AttemptEnd.NotRun, "endpoint_refused", faulty.id)
    }

    private fun onFailure(event: ClientEvent.Failed) {
        val failed = first
        if (failed != null && concernsEndpoint(event)) context.directory.onFailure(monotonicNow(), failed.id)
        if (concernsEndpoint(event) || isBreak(event)) probeFirst()
        val next = { onAttemptFailed(endOf(event), event.reason, failed?.id) }
        if (isBreak(event)) afterBreak(next) else next()
    }

    /** Whether the attempt may be abandoned for another one; a stream that cannot run again stays at its endpoint. */
    private fun canRestartElsewhere(): Boolean = call?.sent != true || mayReplaceAttempt()

    /**
     * Called when no event arrived in time; asks the path's first endpoint whether it waits for another one.
     *
     * A sound endpoint may be silent for a second or more. Silence alone ends an attempt only if another endpoint is
     * free, since the stream may go on sooner where it is than at an endpoint that refuses it.
     */
    private fun onStalled() {
        val target = first ?: return
        if (!exchange.isWritable) {
            watchAttempt(context.times.eventTimeout, ::onStalled)
            return
        }
        recordFirstEventLatency()
        path?.let(firstEventLatency::pollPaces)
        if (!canRestartElsewhere()) return
        // A plain service cannot be asked; before its first event, another run at a free endpoint answers sooner.
        val maxSilence = if (model == null && !answerBegun) Duration.ZERO else context.times.maxEventGap
        val isSilent = elapsed(lastEventAt) >= maxSilence && hasAlternative(target.id, mustBeFree = true)
        if (call?.sent != true || isSilent) {
            abandonAttempt(target.id)
            return
        }
        watchAttempt(context.times.stallReportInterval, ::onStalled)
        if (model != null) requestStallReport(target)
    }

    private fun requestStallReport(target: RelayEndpoint) {
        val reportedCall = call
        val forwardedBefore = forwardedEvents
        context.engines.stalledAt(target, request.id.value) { report ->
            guarded {
                if (!ended && call === reportedCall && forwardedEvents == forwardedBefore) onStallReport(target, report)
            }
        }
    }

    private fun onStallReport(
        target: RelayEndpoint,
        report: StallReport,
    ) {
        EventLog.info(
            "stream makes no progress",
            "request" to request.id,
            "first" to target.id,
            "report" to report,
        )
        when (report) {
            is StallReport.WaitsFor -> onLost(context.directory.findByAddress(report.address)?.id ?: target.id)
            StallReport.Alive, StallReport.NotAsked -> Unit
            StallReport.NoAnswer -> onSilent(target.id)
        }
    }

    /** An engine without a stall report may be lost, or silent for a moment; it gets no new streams meanwhile. */
    private fun onSilent(target: EndpointId) {
        context.directory.onReportedLost(monotonicNow(), target)
        if (!hasAlternative(target) || !canRestartElsewhere()) return
        abandonAttempt(target)
        context.streams.toList().forEach { if (it.hasAlternative(target)) it.onEndpointLost(target) }
    }

    /** Whether an endpoint, or a path, other than [silent] may take the stream; with [mustBeFree], below its limit. */
    private fun hasAlternative(
        silent: EndpointId,
        mustBeFree: Boolean = !answerBegun,
    ): Boolean {
        val now = monotonicNow()
        val canTake = { other: EndpointId ->
            mayReceive(other) && (!mustBeFree || context.concurrency.canStart(now, other))
        }
        val avoided = avoid + silent
        if (paths != null) return paths.exists(avoided, canTake)
        return context.directory.usable(now, request.service.id).any { it.id !in avoided && canTake(it.id) }
    }

    private fun onLost(faulty: EndpointId) {
        context.directory.onReportedLost(monotonicNow(), faulty)
        // Other streams may have used up the retry budget while the report was awaited.
        if (canRestartElsewhere()) abandonAttempt(faulty)
        context.streams.toList().forEach { it.onEndpointLost(faulty) }
    }

    private fun abandonAttempt(faulty: EndpointId) {
        val sent = call?.sent == true
        context.directory.onFailure(monotonicNow(), faulty)
        abandonCall(silentEndpoint = faulty)
        onAttemptFailed(if (sent) AttemptEnd.Unknown else AttemptEnd.NotSent, "stalled", faulty)
    }

    private companion object {
        const val LAST_EVENT_ID = "Last-Event-ID"
        const val EVENTS_OF_ANSWER = 2
    }
}
