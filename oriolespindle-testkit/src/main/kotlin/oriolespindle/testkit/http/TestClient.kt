package oriolespindle.testkit.http

import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A whole answer to a call of [TestClient]; header names are in lower case.
 *
 * [truncated] says that the connection broke after the answer had started.
 */
public data class TestReply(
    public val status: Int,
    public val headers: Map<String, String>,
    public val lines: List<String>,
    public val truncated: Boolean = false,
) {
    /** The body as one text. */
    public val body: String get() = lines.joinToString("\n")
}

/** A blocking HTTP client for tests; each call uses a connection of its own. */
public class TestClient(
    private val address: String,
    private val timeout: Duration = 10.seconds,
) {
    /**
     * Makes a call and waits for the whole answer.
     *
     * @throws IOException if the connection fails or breaks before the answer starts, or the answer takes longer than
     * the timeout.
     */
    public fun call(
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
        onLine: (String) -> Unit = {},
    ): TestReply {
        val collector = Collector(onLine)
        val call = HttpCall.start(HttpRequestSpec(address, method, path, body, headers), collector)
        try {
            return collector.reply.get(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (e: ExecutionException) {
            throw IOException(e.cause?.message, e)
        } catch (e: TimeoutException) {
            call.cancel()
            throw IOException("$method $path at $address had no whole answer within $timeout", e)
        }
    }

    private class Collector(
        private val onLine: (String) -> Unit,
    ) : HttpListener {
        val reply = CompletableFuture<TestReply>()
        private var status = 0
        private var headers = emptyMap<String, String>()
        private val lines = mutableListOf<String>()

        override fun head(
            status: Int,
            headers: Map<String, String>,
        ) {
            this.status = status
            this.headers = headers
        }

        override fun line(text: String) {
            lines += text
            onLine(text)
        }

        override fun ended() {
            reply.complete(TestReply(status, headers, lines.toList()))
        }

        override fun lost(cause: String) {
            if (status == 0) {
                reply.completeExceptionally(IOException(cause))
            } else {
                reply.complete(TestReply(status, headers, lines.toList(), truncated = true))
            }
        }
    }
}
