package oriolespindle.router.endpoint

import kotlinx.serialization.SerializationException
import oriolespindle.core.id.EndpointId
import oriolespindle.router.http.Address
import oriolespindle.router.http.ClientRequest
import oriolespindle.router.http.HttpClient
import oriolespindle.router.http.HttpOutcome
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Polls engines for their load.
 *
 * A call without a response reports null to [onLoad]; a response that cannot be decoded is ignored. An engine with a
 * poll in flight is skipped.
 */
internal class LoadPoller(
    private val http: HttpClient,
    private val timeout: Duration,
    private val onLoad: (EndpointId, LoadAnswer?) -> Unit,
) {
    private val pending = ConcurrentHashMap.newKeySet<EndpointId>()

    fun poll(
        endpoint: EndpointId,
        address: Address,
    ) {
        if (!pending.add(endpoint)) return
        http.call(ClientRequest(address, "GET", "/v1/load"), timeout) { outcome ->
            pending.remove(endpoint)
            if (outcome is HttpOutcome.Response) onResponse(endpoint, outcome.text) else onLoad(endpoint, null)
        }
    }

    private fun onResponse(
        endpoint: EndpointId,
        text: String,
    ) {
        val answer =
            try {
                EngineStream.json.decodeFromString(LoadAnswer.serializer(), text)
            } catch (_: SerializationException) {
                return
            }
        onLoad(endpoint, answer)
    }
}
