package oriolespindle.router.relay

import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.lifecycle.LateRequest
import oriolespindle.core.lifecycle.LateRequestPolicy
import oriolespindle.core.lifecycle.LateRequestSettings
import oriolespindle.core.relay.RelayConfiguration
import oriolespindle.core.relay.Route
import oriolespindle.core.relay.RouteKind
import oriolespindle.core.relay.RouteTable
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.HttpAnswer
import oriolespindle.router.http.ServerExchange
import oriolespindle.router.lifecycle.ShutdownCoordinator
import oriolespindle.router.logging.EventLog
import oriolespindle.router.runtime.monotonicNow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Checks requests of callers against the configuration and starts a session for each allowed one. */
internal class RelayFrontEnd(
    private val context: RelayContext,
    private val shutdown: ShutdownCoordinator,
    lateRequests: LateRequestSettings,
) {
    private val lateRequestPolicy = LateRequestPolicy(lateRequests)
    private val startup = StartupQueue(context.timers, context.times.maxStartupWait, ::refuseAtStart, ::serve)

    /** Handles a complete request of a caller. */
    fun onRequest(exchange: ServerExchange) {
        val hasNoTime = shutdown.timeLeft?.let { it <= Duration.ZERO } ?: false
        when {
            context.isInitialized -> serve(exchange, arrivedAt = monotonicNow())
            hasNoTime -> refuseAtStart(exchange)
            else -> startup.hold(exchange)
        }
    }

    /** Serves the requests that have waited for the configuration and the endpoints, once both are there. */
    fun onStateChanged() {
        if (context.isInitialized) startup.release()
    }

    /** Ends all requests, since the process is about to be killed. */
    fun endRequests() {
        startup.refuseAll()
        for (session in context.sessions.toList()) {
            // An unexpected error of one request must not cut off the others without an answer.
            runCatching(session::onInstanceStops).onFailure { EventLog.warn("request was not ended", "cause" to it) }
        }
    }

    private fun refuseAtStart(exchange: ServerExchange) {
        context.metrics.onRefused("configuration_missing")
        exchange.respond(RelayAnswers.refusal("configuration_missing", context.times.retryAfterStart))
    }

    /** Serves a request; an error before its session has started means that it has not been sent anywhere. */
    private fun serve(
        exchange: ServerExchange,
        arrivedAt: Timestamp,
    ) = catchingErrors({ check(exchange, arrivedAt) }) { cause ->
        EventLog.warn(
            "request failed before its first attempt",
            "request" to exchange.header(context.names.requestId),
            "cause" to cause,
            "at" to cause.stackTrace.firstOrNull(),
        )
        context.metrics.onRefused(RelayAnswers.UNEXPECTED_ERROR)
        exchange.respond(RelayAnswers.refusal(RelayAnswers.UNEXPECTED_ERROR, retryAfter = null))
    }

    private fun check(
        exchange: ServerExchange,
        arrivedAt: Timestamp,
    ) {
        val configuration = checkNotNull(context.configuration.current) { "requests wait for the configuration" }
        val route = configuration.route(exchange.header("Host").orEmpty(), exchange.path)
        if (route == null) {
            deny(exchange, RelayAnswers.NOT_FOUND, "unknown_route", configuration)
            return
        }
        val team = key(exchange)?.let(configuration::team)
        if (configuration.requiresKeys && !route.isPublic && team == null) {
            deny(exchange, RelayAnswers.UNAUTHORIZED, "unknown_key", configuration)
            return
        }
        begin(exchange, arrivedAt, configuration, route, team)
    }

    private fun begin(
        exchange: ServerExchange,
        arrivedAt: Timestamp,
        configuration: RelayConfiguration,
        route: Route,
        team: TeamId?,
    ) {
        val id = RequestId(exchange.header(context.names.requestId).orEmpty())
        val service = RouteTable.selectTarget(route, id.value.hashCode())?.let(configuration::service)
        if (service == null) {
            deny(exchange, RelayAnswers.NOT_FOUND, "unknown_service", configuration)
            return
        }
        val callerTimeout =
            exchange
                .header(context.names.deadline)
                ?.trim()
                ?.toLongOrNull()
                ?.coerceAtLeast(0)
                ?.milliseconds
        val requestTeam = team.takeUnless { route.isPublic }
        val request =
            RelayRequest(
                exchange = exchange,
                id = id,
                route = route,
                service = service,
                team = requestTeam,
                dropKey = configuration.requiresKeys,
                arrivedAt = arrivedAt,
                expiry = arrivedAt + minOf(callerTimeout ?: route.timeout, route.timeout),
                traits = RequestTraits(exchange, service.id, team, exchange.header(context.names.promptParts)),
                priority =
                    configuration.priority(route, requestTeam).takeIf { configuration.hasPriorities(service.id) },
            )
        context.budgets.onRequest(monotonicNow(), service.id)
        if (shutdown.stoppingFor?.let { acceptsLate(request, it) } == false) {
            context.metrics.onRefused(RelayAnswers.STOPPING)
            shutdown.onRequestRefused()
            exchange.respond(RelayAnswers.refusal(RelayAnswers.STOPPING, RETRY_ELSEWHERE_AFTER))
            return
        }
        val isStream = service.model != null || route.kind == RouteKind.STREAM
        val session =
            if (isStream) StreamSession(context, request, service.model) else CallSession(context, request)
        session.start()
    }

    /** Returns whether [request], which arrives [stoppingFor] after the shutdown was requested, is served. */
    private fun acceptsLate(
        request: RelayRequest,
        stoppingFor: Duration,
    ): Boolean {
        val timeLeft = shutdown.timeLeft
        val now = monotonicNow()
        val late = LateRequest(request.expiry - now, request.route.isRetryable) { shareWithin(request, it) }
        val readyElsewhere = context.stoppingPeers.readyShare(now)
        val isAccepted = lateRequestPolicy.accepts(late, stoppingFor, timeLeft, readyElsewhere)
        EventLog.info(
            "request arrived during the shutdown",
            "request" to request.id,
            "route" to request.route.name,
            "accepted" to isAccepted,
            "stopping_ms" to stoppingFor.inWholeMilliseconds,
            "left_ms" to timeLeft?.inWholeMilliseconds,
            "limit_ms" to late.limit.inWholeMilliseconds,
            "likelihood" to timeLeft?.let { lateRequestPolicy.likelihood(late, it) },
            "ready_elsewhere" to readyElsewhere,
            "connection_ms" to request.exchange.connectionAge.inWholeMilliseconds,
            "connection_requests" to request.exchange.requestNumber,
        )
        return isAccepted
    }

    /** Returns the share of recent answers like that to [request] that took at most [limit]; null if none is known. */
    private fun shareWithin(
        request: RelayRequest,
        limit: Duration,
    ): Double? {
        val inProgress = context.sessions.mapNotNull { it.age(request.route) }
        return context.durations.shareWithin(request.route.name, request.service.id, limit, inProgress)
    }

    private fun key(exchange: ServerExchange): String? {
        val authorization = exchange.header("Authorization") ?: return null
        val scheme = authorization.substringBefore(' ')
        return authorization.substringAfter(' ', "").trim().takeIf { scheme.equals("Bearer", ignoreCase = true) }
    }

    private fun deny(
        exchange: ServerExchange,
        status: Int,
        reason: String,
        configuration: RelayConfiguration,
    ) {
        context.metrics.onRefused(reason)
        EventLog.info(
            "request denied",
            "request" to exchange.header(context.names.requestId),
            "host" to exchange.header("Host"),
            "path" to exchange.path,
            "reason" to reason,
            "configuration" to configuration.version,
            *context.contactFields(),
        )
        exchange.respond(RelayAnswers.denial(status, reason))
    }

    /** Answers a readiness probe of the load balancer, or a request for the metrics. */
    fun readiness(
        exchange: ServerExchange,
        isReady: Boolean,
    ) {
        if (exchange.path == METRICS_PATH) {
            exchange.respond(HttpAnswer(OK, context.metrics.scrape().toByteArray(), contentType = "text/plain"))
        } else {
            exchange.respond(HttpAnswer(if (isReady) OK else UNAVAILABLE))
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val METRICS_PATH = "/metrics"

        /** `Retry-After` of requests that another instance can serve at once. */
        val RETRY_ELSEWHERE_AFTER = Duration.ZERO
    }
}
