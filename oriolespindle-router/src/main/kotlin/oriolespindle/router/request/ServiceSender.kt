package oriolespindle.router.request

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import oriolespindle.router.directory.ServiceEndpoint
import oriolespindle.router.http.ClientCall
import oriolespindle.router.http.ClientRequest
import oriolespindle.router.http.ServerExchange
import kotlin.time.Duration

/** The result of sending a call to one endpoint of a plain service. */
internal sealed interface ServiceResult {
    /** A complete answer. */
    class Answered(
        val status: Int,
        val body: ByteArray,
        val contentType: String?,
    ) : ServiceResult

    /** A complete answer which states that the call did not run. */
    data class NotRun(
        val retryAfterSeconds: Long?,
    ) : ServiceResult

    /** No byte of the call was sent. */
    data object NotSent : ServiceResult

    /** Bytes may have reached the endpoint, but no complete answer arrived. */
    data class Lost(
        val timedOut: Boolean,
    ) : ServiceResult
}

/** The HTTP request sent to a plain service on behalf of a caller. */
internal class ServiceCall(
    val method: String,
    val uri: String,
    val body: ByteArray,
    val contentType: String,
    val headers: List<Pair<String, String>>,
) {
    companion object {
        private val forwarded = listOf("Accept", "Idempotency-Key")

        /** Copies the parts of [request] that a service may see, without credentials and hop-by-hop headers. */
        fun of(
            request: CallerRequest,
            uri: String,
        ): ServiceCall {
            val exchange: ServerExchange = request.exchange
            val headers =
                forwarded.mapNotNull { name -> exchange.header(name)?.let { name to it } } +
                    (Answers.REQUEST_ID_HEADER to request.id.value) +
                    ("Oriolespindle-Team" to request.contract.team.value)
            val contentType = exchange.header("Content-Type") ?: "application/octet-stream"
            return ServiceCall(exchange.method, uri, exchange.body, contentType, headers)
        }
    }
}

/** Sends calls to endpoints of plain services; results are delivered on the request component's thread. */
internal class ServiceSender(
    private val context: RequestContext,
    private val endpoints: EndpointStates,
) {
    private val inFlight = HashMap<EndpointId, Int>()

    /** Returns the serving endpoints of [servers], by calls in flight from this instance, then own zone, then id. */
    fun candidates(servers: List<ServiceEndpoint>): List<ServiceEndpoint> =
        servers
            .filter { endpoints.isServing(context.now(), it.id) }
            .sortedWith(compareBy({ inFlight[it.id] ?: 0 }, { it.zone != context.zone }, { it.id }))

    /** Sends [call] once; non-idempotent calls use a new connection, since a pooled one may be half-closed. */
    fun send(
        call: ServiceCall,
        server: ServiceEndpoint,
        limits: SendLimits,
        onResult: (ServiceResult) -> Unit,
    ) {
        inFlight.merge(server.id, 1, Int::plus)
        val answer = AnswerCollector(context.http.newAnswerBuffer())
        val request =
            ClientRequest(
                address = server.address,
                method = call.method,
                uri = call.uri,
                body = call.body,
                contentType = call.contentType,
                headers = call.headers,
                freshConnection = limits.freshConnection,
                notAfter = limits.notAfter,
            )
        var sent: ClientCall? = null
        sent =
            context.http.send(request, limits.timeout) { event ->
                val end = answer.handle(event)
                if (end != null) context.continueWith { onCallEnded(server, end, onResult) }
                // The first events may arrive before the call is known here.
                if (end == null && answer.isOversized) sent?.cancel()
                true
            }
    }

    private fun onCallEnded(
        server: ServiceEndpoint,
        end: ServiceResult,
        onResult: (ServiceResult) -> Unit,
    ) {
        inFlight.merge(server.id, -1, Int::plus)
        inFlight.remove(server.id, 0)
        onResult(end)
    }
}

/** The latest time to send a call, the timeout of its answer and whether it needs a new connection. */
internal data class SendLimits(
    val timeout: Duration,
    val freshConnection: Boolean,
    val notAfter: Timestamp? = null,
)
