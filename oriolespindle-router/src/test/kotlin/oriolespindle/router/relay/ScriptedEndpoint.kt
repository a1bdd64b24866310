package oriolespindle.router.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.relay.RelayEndpoint
import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** A request as received by a [ScriptedEndpoint]. */
internal class ReceivedRequest(
    val requestLine: String,
    val headers: Map<String, String>,
    val body: String,
) {
    operator fun get(name: String): String? = headers[name.lowercase()]
}

/** The connection on which a request arrived, for the script to write to. */
internal class ScriptedConnection(
    val socket: Socket,
) {
    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    /** Closes the connection with a TCP reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    fun close() = socket.close()

    /** Returns whether the peer resets the connection within [millis]; a reset discards data still in transit. */
    fun isResetWithin(millis: Int): Boolean {
        socket.soTimeout = millis
        return try {
            socket.getInputStream().read()
            false
        } catch (_: java.net.SocketTimeoutException) {
            false
        } catch (_: IOException) {
            true
        }
    }

    /** Returns whether the peer closes the connection within [millis]. */
    fun closesWithin(millis: Int): Boolean {
        socket.soTimeout = millis
        return try {
            socket.getInputStream().read() < 0
        } catch (_: java.net.SocketTimeoutException) {
            false
        } catch (_: IOException) {
            true
        }
    }
}

/** An endpoint that answers with raw bytes, so that a test can violate HTTP. */
internal class ScriptedEndpoint(
    private val name: String,
    /** Whether bodies are read before the script runs; otherwise most of a large one is never received. */
    private val readsBody: Boolean,
    private val script: ScriptedConnection.(ReceivedRequest, number: Int) -> Unit,
) : AutoCloseable {
    constructor(
        name: String,
        script: ScriptedConnection.(ReceivedRequest, number: Int) -> Unit,
    ) : this(name, readsBody = true, script)

    private val listener = ServerSocket()
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val arrivals = LinkedBlockingQueue<ReceivedRequest>()
    val requests = CopyOnWriteArrayList<ReceivedRequest>()

    val address: String get() = "127.0.0.1:${listener.localPort}"

    init {
        if (!readsBody) listener.receiveBufferSize = SMALL_RECEIVE_BUFFER_BYTES
        listener.bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG)
        daemon { acceptAll() }
    }

    fun registration(
        layers: LayerRange? = null,
        zone: String = "z1",
    ) = RelayEndpoint(
        id = EndpointId(name),
        service = ServiceId("s"),
        address = address,
        zone = ZoneId(zone),
        startedAt = 1,
        slots = 8,
        accelerator = layers?.let { "card" },
        layers = layers,
    )

    fun nextRequest(): ReceivedRequest =
        checkNotNull(arrivals.poll(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "no request arrived" }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun acceptAll() {
        while (!listener.isClosed) {
            val socket =
                try {
                    listener.accept()
                } catch (_: IOException) {
                    return
                }
            sockets += socket
            daemon { serve(socket) }
        }
    }

    private fun serve(socket: Socket) {
        try {
            val input = BufferedInputStream(socket.getInputStream())
            while (true) {
                val request = read(input) ?: return
                requests += request
                arrivals += request
                ScriptedConnection(socket).script(request, requests.size)
            }
        } catch (_: IOException) {
            // The peer or the script has closed the connection.
        }
    }

    private fun read(input: InputStream): ReceivedRequest? {
        val requestLine = readLine(input) ?: return null
        val headers =
            generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
                .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = input.readNBytes(if (readsBody) headers["content-length"]?.toInt() ?: 0 else 0)
        return ReceivedRequest(requestLine, headers, body.decodeToString())
    }

    private fun readLine(input: InputStream): String? {
        val text = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) return null
            if (next == '\n'.code) return text.toString().removeSuffix("\r")
            text.append(next.toChar())
        }
    }

    private fun daemon(block: () -> Unit) {
        Thread(block).apply { isDaemon = true }.start()
    }

    private companion object {
        const val REQUEST_TIMEOUT_SECONDS = 5L
        const val BACKLOG = 50
        const val SMALL_RECEIVE_BUFFER_BYTES = 16 * 1024
    }
}

/** Raw answers in the format that endpoints use. */
internal object Scripts {
    fun whole(
        request: ReceivedRequest,
        body: String,
        status: String = "200 OK",
        extra: String = "",
    ): String =
        "HTTP/1.1 $status\r\nRequest-Name: ${request["Request-Name"]}\r\nSigned: yes\r\n$extra" +
            "Content-Length: ${body.length}\r\n\r\n$body"

    fun refused(request: ReceivedRequest): String =
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Name: ${request["Request-Name"]}\r\nNot-Run: 1\r\n" +
            "Content-Length: 0\r\n\r\n"

    fun streamHead(request: ReceivedRequest): String =
        "HTTP/1.1 200 OK\r\nRequest-Name: ${request["Request-Name"]}\r\nSigned: ${request["Expected"]}\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    fun chunk(text: String): String = "${Integer.toHexString(text.length)}\r\n$text\r\n"

    fun event(id: Int): String = "id: $id\ndata: event $id\n\n"

    const val LAST_CHUNK: String = "0\r\n\r\n"
}
