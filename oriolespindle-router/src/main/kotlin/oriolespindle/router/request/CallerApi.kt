package oriolespindle.router.request

import oriolespindle.core.contract.Contract
import oriolespindle.core.contract.KeyDigest
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.ServerExchange
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An authenticated request with the contract of its team. */
internal class CallerRequest(
    val id: RequestId,
    val exchange: ServerExchange,
    val contract: Contract,
    val arrivedAt: Timestamp,
    val deadline: Timestamp,
)

/** Authenticates callers' requests, checks body size and deadline, and dispatches them by path. */
internal class CallerApi(
    private val context: RequestContext,
    private val handleCompletion: (CallerRequest) -> Unit,
    private val handleServiceCall: (CallerRequest) -> Unit,
) {
    fun handle(exchange: ServerExchange) {
        val id = context.nextRequestId()
        val contract = authenticate(exchange)
        if (contract == null) {
            refuse(id, exchange, null, RefusalReason.UNKNOWN_CREDENTIAL, "the request has no valid bearer key")
            return
        }
        if (exchange.body.size > contract.maximumBodyBytes) {
            val message = "the body has ${exchange.body.size} bytes, the contract allows ${contract.maximumBodyBytes}"
            refuse(id, exchange, contract.team, RefusalReason.BODY_TOO_LARGE, message)
            return
        }
        val timeout = requestTimeout(exchange, contract)
        if (timeout == null) {
            val message = "$DEADLINE_HEADER must be a number of milliseconds from 1"
            refuse(id, exchange, contract.team, RefusalReason.MALFORMED_REQUEST, message)
            return
        }
        val now = context.now()
        val refusal = context.refusalBeforeEnd(id, now + timeout)
        if (refusal == null) {
            route(CallerRequest(id, exchange, contract, now, now + timeout))
        } else {
            refuse(id, exchange, contract.team, refusal)
        }
    }

    private fun route(request: CallerRequest) {
        val exchange = request.exchange
        val isCompletion = exchange.path == COMPLETIONS_PATH
        when {
            isCompletion && exchange.method == "POST" -> {
                handleCompletion(request)
            }

            exchange.path.startsWith(SERVICES_PREFIX) -> {
                handleServiceCall(request)
            }

            else -> {
                val message = "${exchange.method} ${exchange.path} is not part of this interface"
                refuse(request.id, exchange, request.contract.team, RefusalReason.MALFORMED_REQUEST, message)
            }
        }
    }

    private fun authenticate(exchange: ServerExchange): Contract? {
        val header = exchange.header("Authorization") ?: return null
        if (!header.startsWith(BEARER, ignoreCase = true)) return null
        // Looking up the digest instead of the key keeps the lookup time independent of the stored keys.
        return context.contracts.contract(KeyDigest.of(header.substring(BEARER.length).trim()))
    }

    private fun requestTimeout(
        exchange: ServerExchange,
        contract: Contract,
    ): Duration? {
        val header = exchange.header(DEADLINE_HEADER) ?: return contract.defaultDeadline
        val millis = header.toLongOrNull()?.takeIf { it > 0 } ?: return null
        return millis.milliseconds.coerceAtMost(contract.maximumDeadline)
    }

    private fun refuse(
        id: RequestId,
        exchange: ServerExchange,
        team: TeamId?,
        reason: RefusalReason,
        message: String,
    ) = refuse(id, exchange, team, CallOutcome.NotRun(reason, message))

    private fun refuse(
        id: RequestId,
        exchange: ServerExchange,
        team: TeamId?,
        refusal: CallOutcome.NotRun,
    ) {
        context.countRefusal(team, refusal.reason)
        exchange.respond(Answers.notRun(id, refusal))
    }

    private companion object {
        const val COMPLETIONS_PATH = "/v1/completions"
        const val SERVICES_PREFIX = "/services/"
        const val DEADLINE_HEADER = "Oriolespindle-Deadline-Ms"
        const val BEARER = "Bearer "
    }
}
