package oriolespindle.router.request

import oriolespindle.core.chain.PrefixHash
import oriolespindle.core.chain.RouteQuery
import oriolespindle.core.crash.CrashEvidence
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.RequestId
import oriolespindle.core.limit.Permit
import oriolespindle.core.limit.TokenCost
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.retry.RetryPolicy
import oriolespindle.core.time.Timestamp
import oriolespindle.router.endpoint.EngineSignal

/** Parses, admits and schedules completions, and holds the sessions of those in progress at this instance. */
internal class Completions(
    private val context: RequestContext,
    private val routes: ModelRoutes,
    private val endpoints: EndpointStates,
    private val retries: RetryPolicy,
    private val admission: Admission,
    private val scheduler: FairScheduler,
    sendEvidence: (List<CrashEvidence>) -> Unit,
) {
    private val sender = AttemptSender(context)
    private val probe = EndpointProbe(context)
    private val crashes = CrashCheck(context, probe, sendEvidence)
    private val sessions = HashMap<RequestId, CompletionSession>()

    val inProgress: Int get() = sessions.size

    fun handle(caller: CallerRequest) {
        when (val parsed = CompletionParser.parse(caller.exchange.body, caller.contract)) {
            is CompletionParse.Refused -> refuse(caller, parsed.outcome)
            is CompletionParse.Valid -> admit(caller, parsed.request)
        }
    }

    private fun admit(
        caller: CallerRequest,
        request: CompletionRequest,
    ) {
        val cost = TokenCost(request.promptTokens, request.maxTokens)
        admission.admit(
            caller = caller,
            cost = cost,
            onAdmitted = { permit -> schedule(caller, request, permit) },
            onRefused = { outcome -> refuse(caller, outcome) },
        )
    }

    private fun schedule(
        caller: CallerRequest,
        request: CompletionRequest,
        permit: Permit,
    ) {
        val waiting =
            WaitingCompletion(
                caller = caller,
                request = request,
                start = { startOrRefuse(caller, request, permit) },
                onRefused = { outcome ->
                    admission.settle(permit, TokenCost.NONE)
                    refuse(caller, outcome)
                },
            )
        scheduler.offer(waiting)
    }

    /** A completion may have waited since before the shutdown. */
    private fun startOrRefuse(
        caller: CallerRequest,
        request: CompletionRequest,
        permit: Permit,
    ) {
        val refusal = context.refusalBeforeEnd(caller.id, caller.deadline)
        when {
            caller.exchange.isEnded -> {
                onNotStarted(request, permit)
            }

            refusal != null -> {
                onNotStarted(request, permit)
                refuse(caller, refusal)
            }

            else -> {
                start(caller, request, permit)
            }
        }
    }

    private fun refuse(
        caller: CallerRequest,
        outcome: CallOutcome.NotRun,
    ) {
        context.countRefusal(caller.contract.team, outcome.reason)
        caller.exchange.respond(Answers.notRun(caller.id, outcome))
    }

    fun onEngineSignal(
        request: RequestId,
        attempt: AttemptNumber,
        signal: EngineSignal,
    ) {
        sessions[request]?.onEngineSignal(attempt, signal)
    }

    /** Merges crash evidence from another instance. */
    fun onCrashEvidence(items: List<CrashEvidence>) = crashes.onEvidence(items)

    fun onCallerGone(request: RequestId) {
        sessions[request]?.onCallerGone()
    }

    /** Ends the completions in progress, because this instance is about to end. */
    fun endRequests() {
        scheduler.refuseWaiting(context.stopping())
        // Iterates over a copy, because a session that ends is removed from the map.
        sessions.values.toList().forEach { it.onInstanceEnding() }
    }

    fun tick(now: Timestamp) {
        crashes.tick(now)
        // Iterates over a copy, because a tick can end a session and so remove it from the map.
        sessions.values.toList().forEach { it.tick(now) }
    }

    private fun start(
        caller: CallerRequest,
        request: CompletionRequest,
        permit: Permit,
    ) {
        val query = routeQuery(caller, request)
        val team = caller.contract.team
        val recovery = StreamRecovery(context, routes, retries, probe, team, query, caller.deadline)
        val session =
            CompletionSession(
                context = context,
                routes = routes,
                endpoints = endpoints,
                sender = sender,
                recovery = recovery,
                caller = caller,
                request = request,
                query = query,
                crashes = crashes,
                onFinished = { onSessionFinished(it, request, permit) },
            )
        sessions[caller.id] = session
        caller.exchange.onClosed = { context.post(RequestMessage.CallerGone(caller.id)) }
        session.start()
    }

    /** Releases the permit and the slot of a request that was not started when its turn came. */
    private fun onNotStarted(
        request: CompletionRequest,
        permit: Permit,
    ) {
        admission.settle(permit, TokenCost.NONE)
        scheduler.onFinished(request, permit.team, TokenCost.NONE)
    }

    private fun onSessionFinished(
        session: CompletionSession,
        request: CompletionRequest,
        permit: Permit,
    ) {
        sessions.remove(session.id)
        val actual = TokenCost(request.promptTokens, session.deliveredTokens)
        admission.settle(permit, actual)
        scheduler.onFinished(request, permit.team, actual)
    }

    private fun routeQuery(
        caller: CallerRequest,
        request: CompletionRequest,
    ): RouteQuery =
        RouteQuery(
            request = caller.id,
            model = request.model,
            prefix =
                PrefixHash(
                    request.prompt
                        .take(PREFIX_CHARS)
                        .hashCode()
                        .toLong(),
                ),
            promptTokens = request.promptTokens,
            maxTokens = request.maxTokens,
            priority = request.priority,
            zone = context.zone,
        )

    private companion object {
        /** Prompts with this many equal leading characters are expected to share a cached prefix. */
        const val PREFIX_CHARS = 256
    }
}
