package oriolespindle.ctl

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/** A request as an [AdministrationStub] received it. */
internal data class StubRequest(
    val line: String,
    val condition: String?,
    val authorization: String?,
    val body: String,
)

/** A response of an [AdministrationStub]; a null reply closes the connection without a response. */
internal data class StubReply(
    val status: Int,
    val body: String,
)

/** Answers each request line from [replies] and records the requests; unknown lines get status 404. */
internal class AdministrationStub(
    private val replies: Map<String, StubReply?>,
) : AutoCloseable {
    val requests = CopyOnWriteArrayList<StubRequest>()
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    val address: String get() = "127.0.0.1:${server.address.port}"

    init {
        server.createContext("/", ::answer)
        server.start()
    }

    override fun close() = server.stop(0)

    private fun answer(exchange: HttpExchange) {
        val headers = exchange.requestHeaders
        val line = "${exchange.requestMethod} ${exchange.requestURI}"
        val condition =
            headers.getFirst("If-Match")?.let { "If-Match: $it" }
                ?: headers.getFirst("If-None-Match")?.let { "If-None-Match: $it" }
        val body = exchange.requestBody.readBytes().decodeToString()
        requests += StubRequest(line, condition, headers.getFirst("Authorization"), body)
        val reply = if (line in replies) replies[line] else StubReply(404, """{"error":"no such path or object"}""")
        if (reply != null) {
            val bytes = reply.body.toByteArray()
            exchange.sendResponseHeaders(reply.status, bytes.size.toLong())
            exchange.responseBody.write(bytes)
        }
        exchange.close()
    }
}
