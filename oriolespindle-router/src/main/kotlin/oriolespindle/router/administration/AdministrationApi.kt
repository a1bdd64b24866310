package oriolespindle.router.administration

import kotlinx.serialization.json.JsonObject
import oriolespindle.core.config.Revision
import oriolespindle.router.http.HttpAnswer
import oriolespindle.router.http.ServerExchange
import oriolespindle.router.metrics.Metrics
import oriolespindle.router.state.StateComponent

/**
 * Serves health checks, metrics and the operators' API.
 *
 * Health checks and metrics need no token; every other path needs an operator's bearer token with a sufficient role.
 */
internal class AdministrationApi(
    private val metrics: Metrics,
    private val operators: Operators,
    private val objects: ObjectApi,
    private val state: StateComponent,
    private val isReady: () -> Boolean,
    private val readStatus: (answer: (JsonObject) -> Unit) -> Unit,
) {
    fun handle(exchange: ServerExchange) {
        when (exchange.path) {
            "/healthz" -> exchange.respond(AdministrationAnswers.text(STATUS_OK, "ok"))
            "/readyz" -> exchange.respond(readinessAnswer())
            "/metrics" -> exchange.respond(AdministrationAnswers.text(STATUS_OK, metrics.scrape()))
            else -> handleWithRole(exchange)
        }
    }

    private fun readinessAnswer(): HttpAnswer =
        if (isReady()) {
            AdministrationAnswers.text(STATUS_OK, "ready")
        } else {
            AdministrationAnswers.text(STATUS_UNAVAILABLE, "not ready")
        }

    private fun handleWithRole(exchange: ServerExchange) {
        val isObject = exchange.path.startsWith(ObjectApi.PREFIX)
        val required = if (isObject) objects.requiredRole(exchange) else Role.READ
        val role = operators.roleOf(exchange.header("Authorization"))
        when {
            role == null -> exchange.respond(AdministrationAnswers.error(STATUS_UNAUTHORIZED, NO_TOKEN))
            required == null -> exchange.respond(AdministrationAnswers.notFound())
            role < required -> exchange.respond(AdministrationAnswers.error(STATUS_FORBIDDEN, "needs role $required"))
            isObject -> objects.handle(exchange)
            exchange.path == "/v1/status" -> readStatus { exchange.respond(AdministrationAnswers.json(STATUS_OK, it)) }
            exchange.path.startsWith(ROLLOUT_PREFIX) -> answerRollout(exchange)
            else -> exchange.respond(AdministrationAnswers.notFound())
        }
    }

    private fun answerRollout(exchange: ServerExchange) {
        val revision = exchange.path.removePrefix(ROLLOUT_PREFIX).toLongOrNull()
        if (revision == null) {
            exchange.respond(AdministrationAnswers.error(STATUS_BAD_REQUEST, "the revision must be a number"))
            return
        }
        state.rollout(Revision(revision)) { status ->
            exchange.respond(AdministrationAnswers.json(STATUS_OK, RolloutReport.of(status)))
        }
    }

    private companion object {
        const val STATUS_OK = 200
        const val ROLLOUT_PREFIX = "/v1/rollout/"
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_UNAUTHORIZED = 401
        const val STATUS_FORBIDDEN = 403
        const val STATUS_UNAVAILABLE = 503
        const val NO_TOKEN = "the request has no valid bearer token of an operator"
    }
}
