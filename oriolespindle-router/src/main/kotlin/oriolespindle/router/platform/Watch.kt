package oriolespindle.router.platform

import kotlinx.serialization.SerializationException
import oriolespindle.router.http.ClientCall
import oriolespindle.router.http.ClientEvent
import oriolespindle.router.http.ClientRequest
import oriolespindle.router.http.HttpClient
import oriolespindle.router.http.LineSplitter

/** A watch of the platform's objects; [onLine] receives null when the watch has ended. */
internal class Watch(
    private val http: HttpClient,
    private val request: ClientRequest,
    private val onLine: (WatchLine?) -> Unit,
) {
    private val lines = LineSplitter()
    private var call: ClientCall? = null
    private var isAccepted = false

    fun start() {
        call = http.send(request, timeout = null, listener = ::onEvent)
    }

    fun close() {
        call?.cancel()
    }

    private fun onEvent(event: ClientEvent): Boolean {
        when (event) {
            is ClientEvent.Head -> isAccepted = event.status == STATUS_OK

            // The body of a failure may have no end.
            is ClientEvent.Data -> if (isAccepted) feed(event.bytes) else close()

            is ClientEvent.End, is ClientEvent.Failed -> onLine(null)
        }
        return true
    }

    private fun feed(bytes: ByteArray) {
        val complete = lines.feed(bytes)
        val decoded = complete?.map(::decode)
        if (decoded == null || decoded.any { it == null }) {
            close()
            return
        }
        decoded.filterNotNull().forEach(onLine)
    }

    private fun decode(line: String): WatchLine? =
        try {
            PlatformAnswers.watchLine(line)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val STATUS_OK = 200
    }
}
