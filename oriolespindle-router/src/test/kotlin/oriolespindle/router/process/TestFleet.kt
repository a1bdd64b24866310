package oriolespindle.router.process

import oriolespindle.core.contract.KeyDigest
import oriolespindle.testkit.engine.EngineSettings
import oriolespindle.testkit.engine.expectedToken
import oriolespindle.testkit.fleet.FleetObject
import oriolespindle.testkit.fleet.FleetProcess
import oriolespindle.testkit.fleet.ProcessFleet
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.http.TestReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Starts as separate processes a platform, engines for two layer ranges, plain service endpoints and routers. */
internal class TestFleet(
    routers: Int = 2,
    enginesPerRange: Int = 2,
    services: Int = 1,
    tokenDelay: Duration = 10.milliseconds,
    private val routerFlags: List<String> = emptyList(),
    private val requestsPerSecond: Double = 1000.0,
    isLastRouterLinked: Boolean = false,
    areTailsLinked: Boolean = false,
) : AutoCloseable {
    private val processes = ProcessFleet(routerClassPath = System.getProperty("java.class.path"))

    val heads: List<FleetProcess> = engines("head", 0, SPLIT_LAYER, enginesPerRange, tokenDelay)
    val tails: List<FleetProcess> = engines("tail", SPLIT_LAYER, LAYERS, enginesPerRange, tokenDelay)

    /** The links to [tails] in the same order, or an empty list without links. */
    val tailLinks: List<FleetProcess> =
        if (areTailsLinked) tails.map { processes.link("link-${it.name}", it.address) } else emptyList()
    val services: List<FleetProcess> = (1..services).map { processes.service("orders-$it") }
    val platform: FleetProcess
    val routers: List<FleetProcess>

    /** The link between the last router and the platform, or null without a link. */
    val platformLink: FleetProcess?

    init {
        try {
            platform = processes.platform(objects())
            processes.awaitReady()
            platformLink = if (isLastRouterLinked) processes.link("link", platform.address) else null
            processes.awaitReady()
            this.routers =
                (1..routers).map {
                    val address = if (it == routers) platformLink?.address ?: platform.address else platform.address
                    processes.router("r$it", "z1", address, routerFlags)
                }
            processes.awaitReady()
        } catch (e: IllegalStateException) {
            processes.close()
            throw e
        }
    }

    override fun close() {
        processes.close()
    }

    /** Starts another instance without waiting for it. */
    fun addRouter(): FleetProcess = processes.router("r-added", "z1", platform.address, routerFlags)

    /** Waits until every process is ready. */
    fun awaitReady() = processes.awaitReady()

    fun complete(
        router: Int,
        prompt: String,
        tokens: Int,
        stream: Boolean = true,
        onLine: (String) -> Unit = {},
    ): TestReply {
        val body = """{"model":"$MODEL","prompt":"$prompt","max_tokens":$tokens,"stream":$stream}"""
        return TestClient(routers[router].address, CALL_TIMEOUT)
            .call("POST", "/v1/completions", body, AUTHORIZATION, onLine)
    }

    fun order(
        router: Int,
        key: String?,
        body: String = """{"part":"p-1"}""",
        headers: Map<String, String> = emptyMap(),
    ): TestReply {
        val keyHeader = if (key == null) emptyMap() else mapOf("Idempotency-Key" to key)
        return TestClient(routers[router].address, CALL_TIMEOUT)
            .call("POST", "/services/$SERVICE/stock", body, AUTHORIZATION + keyHeader + headers)
    }

    fun metric(
        router: Int,
        name: String,
    ): Double =
        TestClient(routers[router].administration)
            .call("GET", "/metrics")
            .lines
            .filter { it.startsWith("$name ") || it.startsWith("$name{") }
            .sumOf { it.substringAfterLast(' ').toDouble() }

    private fun engines(
        name: String,
        first: Int,
        end: Int,
        count: Int,
        tokenDelay: Duration,
    ): List<FleetProcess> =
        (1..count).map {
            val settings =
                EngineSettings("$name-$it", MODEL, first, end, tokenDelay, tokensPerSecond = TOKENS_PER_SECOND)
            processes.engine(settings)
        }

    private fun objects(): List<FleetObject> {
        val heads = heads.map { engineObject(it, 0, SPLIT_LAYER) }
        val tails =
            tails.mapIndexed { i, tail ->
                engineObject(tail, SPLIT_LAYER, LAYERS, tailLinks.getOrNull(i)?.address ?: tail.address)
            }
        val servers =
            services.map {
                FleetObject("endpoint", it.name, """{"address":"${it.address}","zone":"z1","service":"$SERVICE"}""")
            }
        return heads + tails + servers +
            FleetObject("model", MODEL, """{"layers":$LAYERS}""") +
            FleetObject("service", SERVICE, """{"nonIdempotentMethods":["POST"]}""") +
            FleetObject("contract", "team-a", contract(requestsPerSecond = requestsPerSecond))
    }

    private fun engineObject(
        engine: FleetProcess,
        first: Int,
        end: Int,
        address: String = engine.address,
    ): FleetObject {
        val value =
            """{"address":"$address","zone":"z1","model":"$MODEL","first":$first,"end":$end,""" +
                """"tokensPerSecond":$TOKENS_PER_SECOND}"""
        return FleetObject("endpoint", engine.name, value)
    }

    companion object {
        const val MODEL = "demo"
        const val SERVICE = "orders"
        const val LAYERS = 40
        const val KEY = "team-a-test-key"
        private const val SPLIT_LAYER = 20
        private const val TOKENS_PER_SECOND = 1000.0
        val AUTHORIZATION = mapOf("Authorization" to "Bearer $KEY")
        private val CALL_TIMEOUT = 60.seconds

        fun contract(
            team: String = "team-a",
            key: String = KEY,
            requestsPerSecond: Double = 1000.0,
        ): String =
            """{"team":"$team","keyDigests":["${KeyDigest.of(key)}"],"requestsPerSecond":$requestsPerSecond,""" +
                """"tokensPerSecond":100000.0,"concurrency":200,"weight":1.0,"priorities":[0,1],""" +
                """"models":["$MODEL"],"services":["$SERVICE"],"defaultDeadlineMs":10000,""" +
                """"maximumDeadlineMs":600000,"maximumBodyBytes":65536,"maximumPromptTokens":4000,""" +
                """"maximumGeneratedTokens":4000,"queueLength":200,"retryBudget":0.1}"""

        /** Returns the lines of a complete streamed answer. */
        fun expectedStream(
            prompt: String,
            tokens: Int,
        ): List<String> =
            (0 until tokens).map { """data: {"position":$it,"token":"${expectedToken(MODEL, prompt, it)}"}""" } +
                """data: {"finish":"length","tokens":$tokens}""" +
                "data: [DONE]"
    }
}

/** Returns the lines of a stream without the empty lines between events. */
internal fun TestReply.events(): List<String> = lines.filter { it.isNotBlank() }
