package oriolespindle.router.relay

import oriolespindle.core.config.ObjectKey
import oriolespindle.core.config.WriteAction
import oriolespindle.core.config.WriteEvent
import oriolespindle.core.crash.CrashNews
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.lifecycle.LateRequestSettings
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.placement.Accelerator
import oriolespindle.core.placement.LayerOrder
import oriolespindle.core.placement.ModelLayout
import oriolespindle.core.relay.RelayConfiguration
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.relay.RelayService
import oriolespindle.core.relay.Route
import oriolespindle.core.relay.RouteKind
import oriolespindle.core.relay.RouteTarget
import oriolespindle.core.relay.ServiceBudgetSettings
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.Address
import oriolespindle.router.runtime.monotonicNow
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A relay on loopback that forwards to scripted endpoints. */
internal class RelayFixture(
    private val shutdown: ShutdownSettings =
        ShutdownSettings(100.milliseconds, 50.milliseconds, 200.milliseconds, 50.milliseconds),
    private val retryBurst: Int = 1_000,
    /** The instances that use the same endpoints; each of 72 may start one stream at an endpoint. */
    instancesInZone: Int = 1,
) : AutoCloseable {
    val stopped = CountDownLatch(1)
    private val relay = Relay(settings()) { stopped.countDown() }
    private val addresses = relay.start(FakeEngines(), UnavailableObjects)

    /** The UDP address where the relay receives shared refusals. */
    val refusals: Address = checkNotNull(addresses.refusals)

    /** The stall report that every engine returns. */
    @Volatile
    var stallReport: StallReport = StallReport.Alive

    /** Called before each stall report is delivered. */
    @Volatile
    var beforeStallReport: () -> Unit = {}

    /** The pace that each engine reports, by endpoint name; an engine that is absent reports none. */
    val paces: MutableMap<String, Double> = ConcurrentHashMap()

    init {
        onLoop { relay.onInstanceCountChanged(all = 1, inZone = instancesInZone) }
    }

    fun configure(
        vararg routes: Route,
        version: Long = 1,
        model: ModelLayout? = null,
        keys: Map<String, String>? = mapOf("key" to "team"),
    ) = onLoop {
        val services = listOf(RelayService(ServiceId("s"), maxConnections = 100, model = model))
        relay.configure(
            RelayConfiguration(version, routes.toList(), services, teamsByKey = keys?.mapValues { TeamId(it.value) }),
        )
    }

    fun register(vararg endpoints: RelayEndpoint) = onLoop { relay.replaceEndpoints(endpoints.toList()) }

    fun setPeer(
        id: String,
        address: Address,
    ) = setPeers(mapOf(id to address))

    fun setPeers(peers: Map<String, Address>) = onLoop { relay.setPeers(peers.mapKeys { InstanceId(it.key) }) }

    fun readCrashNews(news: CrashNews) = onLoop { relay.onStoredCrashNews("news", news, Duration.ZERO) }

    fun shutDown(requestedAt: Timestamp = monotonicNow()) = onLoop { relay.shutDown(requestedAt) }

    /** Returns all metrics of the relay in the text format. */
    fun metrics(): String = relay.metrics.scrape()

    /** Uses up the retry budget; must be called on the event loop. */
    fun spendRetries() {
        while (relay.budgets.takeRetry(monotonicNow(), ServiceId("s"))) Unit
    }

    fun connect(): RawCaller = RawCaller(Socket(addresses.callers.host, addresses.callers.port))

    /** Sends one request on a new connection and returns everything received until it closes. */
    fun call(
        method: String = "POST",
        path: String = "/r/x",
        headers: Map<String, String> = emptyMap(),
        body: String = "body",
    ): RawAnswer =
        connect().use { caller ->
            caller.send(method, path, headers + ("Connection" to "close"), body)
            caller.readAll()
        }

    fun isReady(): Boolean =
        RawCaller(Socket(addresses.readiness.host, addresses.readiness.port)).use { caller ->
            caller.send("GET", "/ready", mapOf("Connection" to "close"), "")
            caller.readAll().status == 200
        }

    private fun onLoop(action: () -> Unit) {
        val done = CountDownLatch(1)
        relay.execute {
            action()
            done.countDown()
        }
        done.await()
    }

    private fun settings() =
        RelaySettings(
            instance = InstanceId("i"),
            zone = ZoneId("z1"),
            callers = anyPort,
            readiness = anyPort,
            metrics = null,
            refusals = anyPort,
            sharesLoad = true,
            headerNames = names,
            budgets = ServiceBudgetSettings(ratio = 0.2, burst = retryBurst),
            maxConnections = 100,
            shutdown = shutdown,
            times = RelayTimes(),
            lateRequests = LateRequestSettings(redirectedAfter = shutdown.unreadyFor),
        )

    override fun close() = relay.close()

    private inner class FakeEngines : EngineCalls {
        override fun place(
            order: LayerOrder,
            acceptedOrders: Long,
            fence: Long,
            result: (PlaceResult) -> Unit,
        ) = result(PlaceResult.REJECTED)

        override fun acceptedOrders(
            endpoint: RelayEndpoint,
            result: (Long?) -> Unit,
        ) = result(null)

        override fun pace(
            endpoint: RelayEndpoint,
            result: (Double?) -> Unit,
        ) = result(paces[endpoint.id.value])

        override fun stalledAt(
            first: RelayEndpoint,
            requestId: String,
            result: (StallReport) -> Unit,
        ) {
            beforeStallReport()
            result(stallReport)
        }
    }

    private object UnavailableObjects : SharedObjects {
        override fun read(
            key: ObjectKey,
            mayBeStale: Boolean,
            result: (WriteEvent) -> Unit,
        ) = result(WriteEvent.Unavailable)

        override fun write(
            action: WriteAction.Write,
            result: (WriteEvent) -> Unit,
        ) = result(WriteEvent.Unavailable)
    }

    companion object {
        /** The system chooses a free port while it binds, so no other socket can have it. */
        private val anyPort = Address("127.0.0.1", 0)

        val names =
            RelayHeaderNames(
                requestId = "Request-Name",
                deadline = "Time-Left",
                team = "Team",
                expectedEndpoint = "Expected",
                signature = "Signed",
                notExecuted = "Not-Run",
                leaving = "Leaving",
                faultyEndpoint = "Faulty",
                path = "Path",
                tokens = "Tokens",
                promptParts = "Parts",
                priority = "Priority",
                reserved = setOf("Reserved"),
            )

        /** All layers of [model], which fits on one engine. */
        val allLayers = LayerRange(0, 4)
        val model =
            ModelLayout(
                layers = 4,
                layerMb = 1.0,
                tokenLayerBytes = 1.0,
                accelerators = mapOf("card" to Accelerator("card", 100.0, 1.0, 1.0)),
                stepMillis = 1.0,
                stepMillisPerRequest = 0.0,
                prefillTokensPerSecond = 1_000.0,
                loadTime = 1.seconds,
                maxConcurrentLoads = 1,
                typicalPromptTokens = 10,
                typicalAnswerTokens = 10,
            )

        fun route(
            kind: RouteKind,
            isResumable: Boolean = false,
            maxAttempts: Int = 2,
            isPublic: Boolean = false,
            objective: Duration? = 200.milliseconds,
        ) = Route(
            name = "r",
            host = "h.example",
            pathPrefix = "/r/",
            kind = kind,
            targets = listOf(RouteTarget(ServiceId("s"))),
            timeout = 3.seconds,
            objective = objective,
            maxAttempts = maxAttempts,
            isPublic = isPublic,
            isResumable = isResumable,
        )
    }
}

/** How a caller's connection ended. */
internal enum class ConnectionEnd {
    CLOSED,
    RESET,

    /** The connection was still open after the read timeout. */
    NONE,
}

/** Everything that a caller received until its connection ended. */
internal class RawAnswer(
    val text: String,
    val end: ConnectionEnd,
) {
    val status: Int = text.substringAfter(' ', "0").substringBefore(' ').toIntOrNull() ?: 0
    private val head = text.substringBefore("\r\n\r\n").lines()

    val rawBody: String = text.substringAfter("\r\n\r\n", "")

    /** The body without chunk framing. */
    val body: String =
        if (header("Transfer-Encoding") == "chunked") {
            rawBody.replace(Regex("""(?m)^[0-9a-f]+\r\n"""), "").replace("\r\n", "")
        } else {
            rawBody
        }

    /** Whether a chunked answer has its last chunk. */
    val isComplete: Boolean get() = rawBody.endsWith("0\r\n\r\n")

    fun header(name: String): String? =
        head.firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
}

/** An HTTP caller that writes raw requests to a socket. */
internal class RawCaller(
    private val socket: Socket,
) : AutoCloseable {
    fun send(
        method: String,
        path: String,
        headers: Map<String, String>,
        body: String,
        version: String = "HTTP/1.1",
    ) {
        val all =
            mapOf(
                "Host" to "h.example",
                "Request-Name" to "n1",
                "Authorization" to "Bearer key",
                "Time-Left" to "3000",
            ) +
                headers
        val head = all.filterValues { it.isNotEmpty() }.entries.joinToString("") { "${it.key}: ${it.value}\r\n" }
        val length = if (body.isEmpty()) "" else "Content-Length: ${body.length}\r\n"
        socket.getOutputStream().write("$method $path $version\r\n$head$length\r\n$body".toByteArray())
    }

    fun sendRaw(text: String) = socket.getOutputStream().write(text.toByteArray())

    /** Closes the connection with a TCP reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Closes the direction to the relay; the other one stays open. */
    fun closeOutput() = socket.shutdownOutput()

    /** Waits for the first bytes of the answer. */
    fun readSome() {
        socket.soTimeout = READ_TIMEOUT_MILLIS
        socket.getInputStream().read(ByteArray(READ_BUFFER_BYTES))
    }

    fun readAll(timeoutMillis: Int = READ_TIMEOUT_MILLIS): RawAnswer {
        socket.soTimeout = timeoutMillis
        val text = StringBuilder()
        val end = readInto(text)
        return RawAnswer(text.toString(), end)
    }

    /** Reads into [text]; the bytes before a reset are kept. */
    private fun readInto(text: StringBuilder): ConnectionEnd {
        val buffer = ByteArray(READ_BUFFER_BYTES)
        try {
            while (true) {
                val count = socket.getInputStream().read(buffer)
                if (count < 0) return ConnectionEnd.CLOSED
                text.append(String(buffer, 0, count, Charsets.ISO_8859_1))
            }
        } catch (_: java.net.SocketTimeoutException) {
            return ConnectionEnd.NONE
        } catch (_: java.io.IOException) {
            return ConnectionEnd.RESET
        }
    }

    override fun close() = socket.close()

    private companion object {
        const val READ_TIMEOUT_MILLIS = 8_000
        const val READ_BUFFER_BYTES = 64 * 1024
    }
}
