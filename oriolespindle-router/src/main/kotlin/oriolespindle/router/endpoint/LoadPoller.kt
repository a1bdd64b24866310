package oriolespindle.router.endpoint

import kotlinx.serialization.SerializationException
import oriolespindle.core.id.EndpointId
import oriolespindle.router.http.Address
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.http.ClientRequest
import oriolespindle.router.http.HttpClient
import java.io.ByteArrayOutputStream
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** Reads the load of each engine; a failed read reports null. An engine whose answer is awaited is skipped. */
internal class LoadPoller(
    private val http: HttpClient,
    private val timeout: Duration,
    private val onLoad: (EndpointId, LoadAnswer?) -> Unit,
) {
    private val waiting = ConcurrentHashMap.newKeySet<EndpointId>()

    fun poll(
        endpoint: EndpointId,
        address: Address,
    ) {
        if (!waiting.add(endpoint)) return
        val body = ByteArrayOutputStream()
        http.send(ClientRequest(address, "GET", "/v1/load"), timeout) { event ->
            when (event) {
                is ClientEvent.Head -> Unit
                is ClientEvent.Data -> body.writeBytes(event.bytes)
                is ClientEvent.End -> answered(endpoint, body.toString(Charsets.UTF_8))
                is ClientEvent.Failed -> failed(endpoint)
            }
            true
        }
    }

    private fun failed(endpoint: EndpointId) {
        waiting.remove(endpoint)
        onLoad(endpoint, null)
    }

    private fun answered(
        endpoint: EndpointId,
        text: String,
    ) {
        waiting.remove(endpoint)
        val answer =
            try {
                EngineStream.json.decodeFromString(LoadAnswer.serializer(), text)
            } catch (_: SerializationException) {
                return
            }
        onLoad(endpoint, answer)
    }
}
