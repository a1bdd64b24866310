package oriolespindle.router.request

import oriolespindle.core.id.EndpointId
import oriolespindle.core.stream.ProbeResult
import oriolespindle.router.http.Address
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.http.ClientRequest
import kotlin.time.Duration

/** Probes on new connections whether endpoints respond. */
internal class EndpointProbe(
    private val context: RequestContext,
) {
    /** Probes [endpoints]; [onResult] runs on the request component's thread once all have answered or failed. */
    fun run(
        endpoints: List<EndpointId>,
        timeout: Duration,
        onResult: (ProbeResult) -> Unit,
    ) {
        val answered = HashSet<EndpointId>()
        val silent = HashSet<EndpointId>()
        for (endpoint in endpoints) {
            probe(endpoint, timeout) { alive ->
                (if (alive) answered else silent) += endpoint
                if (answered.size + silent.size == endpoints.size) onResult(ProbeResult(answered, silent))
            }
        }
    }

    private fun probe(
        endpoint: EndpointId,
        timeout: Duration,
        onResult: (Boolean) -> Unit,
    ) {
        val address = context.directory.engine(endpoint)?.let { Address.parseOrNull(it.address) }
        if (address == null) {
            context.continueWith { onResult(false) }
            return
        }
        context.http.send(ClientRequest(address, "GET", "/v1/load", freshConnection = true), timeout) { event ->
            when (event) {
                is ClientEvent.Head, is ClientEvent.Data -> Unit
                is ClientEvent.End -> context.continueWith { onResult(true) }
                is ClientEvent.Failed -> context.continueWith { onResult(false) }
            }
            true
        }
    }
}
