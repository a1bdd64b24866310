package oriolespindle.router.administration

import oriolespindle.router.http.HttpAnswer
import oriolespindle.router.http.ServerExchange
import oriolespindle.router.metrics.Metrics

/** Answers operators, metric collectors and the platform's health checks. */
internal class AdministrationApi(
    private val metrics: Metrics,
    private val ready: () -> Boolean,
) {
    fun handle(exchange: ServerExchange) {
        exchange.respond(answer(exchange))
    }

    private fun answer(exchange: ServerExchange): HttpAnswer =
        when (exchange.path) {
            "/healthz" -> text(STATUS_OK, "ok")
            "/readyz" -> if (ready()) text(STATUS_OK, "ready") else text(STATUS_UNAVAILABLE, "not ready")
            "/metrics" -> text(STATUS_OK, metrics.scrape())
            else -> HttpAnswer.json(STATUS_NOT_FOUND, """{"error":{"message":"no such path"}}""")
        }

    private fun text(
        status: Int,
        body: String,
    ): HttpAnswer = HttpAnswer(status, body.toByteArray(), contentType = "text/plain; charset=utf-8")

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_UNAVAILABLE = 503
    }
}
