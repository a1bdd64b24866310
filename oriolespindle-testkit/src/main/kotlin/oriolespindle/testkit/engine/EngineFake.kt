package oriolespindle.testkit.engine

import oriolespindle.core.id.LayerRange
import oriolespindle.testkit.Handle
import oriolespindle.testkit.http.ErrorBody
import oriolespindle.testkit.http.HttpCall
import oriolespindle.testkit.http.HttpExchange
import oriolespindle.testkit.http.HttpListener
import oriolespindle.testkit.http.HttpRequestSpec
import oriolespindle.testkit.http.HttpServer
import oriolespindle.testkit.http.wireJson
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

internal val NOT_RUN_HEADER: Map<String, String> = mapOf("Oriolespindle-Outcome" to "not-run")

/** The link to a next stage that no fault slows. */
private const val NORMAL_LINK_MILLIS = 0.5

/**
 * A fake model engine that holds a range of layers and makes the tokens of [expectedToken].
 *
 * [onCrash] runs when [EngineFault.CrashOnPrompt] strikes; the default resets every connection and stops listening.
 */
public class EngineFake private constructor(
    internal val settings: EngineSettings,
    port: Int,
    private val onCrash: ((EngineFake) -> Unit),
) : Handle {
    internal val sessions = Sessions(settings.maxSessions)
    internal val runs = RunLog()
    private val streams = ConcurrentHashMap.newKeySet<EngineStream>()
    private val links = ConcurrentHashMap.newKeySet<String>()
    private val orders = OrderBook(settings.initialState(), settings.checksFence)
    private val server = HttpServer(::handle)

    @Volatile
    internal var faults: FaultState = FaultState()
        private set

    @Volatile
    private var reported: Pair<ComparableTimeMark, EngineLoad>? = null

    init {
        server.start(port)
    }

    override val address: String get() = server.address

    /** What the engine holds now. */
    public val state: EngineState get() = orders.state

    /** The requests that were started at this engine and not finished yet. */
    public val activeRequests: List<String> get() = streams.map { it.request.request }

    /** Which layers ran for which positions. */
    public fun runs(): List<EngineRun> = runs.all()

    /** Adds a fault to the ones in force; [EngineFault.Healthy] ends them. */
    public fun inject(fault: EngineFault) {
        faults = faults.with(fault)
        if (fault is EngineFault.Freeze) streams.forEach { it.frozen = true }
    }

    override fun close() {
        server.close()
    }

    internal fun finished(stream: EngineStream) {
        streams -= stream
    }

    private fun handle(exchange: HttpExchange) {
        val path = exchange.path
        when {
            path.size == 4 && path[1] == "sessions" && path[3] == "cancel" -> cancel(exchange, path[2])
            path.size == 3 && path[1] == "sessions" -> export(exchange, path[2])
            else -> handleFixed(exchange)
        }
    }

    private fun handleFixed(exchange: HttpExchange) {
        when (exchange.method + " " + exchange.uriPath) {
            "POST /v1/pipeline" -> pipeline(exchange, exchange.read())
            "GET /v1/load" -> exchange.reply(200, load())
            "GET /v1/state" -> exchange.reply(200, state)
            "POST /v1/orders" -> order(exchange, exchange.read())
            "POST /_control" -> exchange.reply(200, exchange.read<EngineFault>().also(::inject))
            "GET /_control/runs" -> exchange.reply(200, runs())
            else -> exchange.reply(404, ErrorBody("no_path", exchange.uriPath))
        }
    }

    private fun pipeline(
        exchange: HttpExchange,
        request: PipelineRequest,
    ) {
        val refusal = refusal(request)
        if (refusal != null) return refuse(exchange, request, refusal)
        val stage = request.stages.first()
        if (stage.cache == CacheUse.IMPORT) import(exchange, request, stage) else run(exchange, request)
    }

    private fun refusal(request: PipelineRequest): String? =
        when {
            faults.draining -> "draining"
            faults.busy || streams.size >= settings.maxActive -> "busy"
            !accepts(request) -> "bad_chain"
            else -> null
        }

    private fun accepts(request: PipelineRequest): Boolean {
        val stage = request.stages.firstOrNull() ?: return false
        val range = LayerRange(stage.first, stage.end)
        val held = orders.layers ?: return false
        return stage.endpoint == settings.endpoint &&
            request.model == state.model &&
            range in held &&
            request.stages.zipWithNext().all { (a, b) -> a.end == b.first } &&
            request.hasRightPrefix() &&
            (stage.cache != CacheUse.REUSE || sessions.get(request.request)?.serves(range, request.from) == true)
    }

    private fun refuse(
        exchange: HttpExchange,
        request: PipelineRequest,
        reason: String,
    ) {
        val refusal = Refusal(request.request, request.attempt, "not_run", reason, settings.endpoint)
        exchange.reply(503, refusal, NOT_RUN_HEADER)
    }

    private fun import(
        exchange: HttpExchange,
        request: PipelineRequest,
        stage: PipelineStage,
    ) {
        val source = stage.importFrom ?: return refuse(exchange, request, "bad_chain")
        val range = LayerRange(stage.first, stage.end)
        val imported = { session: Session? ->
            if (session?.serves(range, request.from) == true) {
                run(exchange, request)
            } else {
                refuse(exchange, request, "bad_chain")
            }
        }
        val call = HttpRequestSpec(source, "GET", "/v1/sessions/${request.request}")
        HttpCall.start(call, SessionReader(imported), exchange.loop)
    }

    private fun run(
        exchange: HttpExchange,
        request: PipelineRequest,
    ) {
        val text = faults.crashText
        if (text != null && text in request.prompt) return onCrash(this)
        val stream = EngineStream(this, exchange, request)
        streams += stream
        request.stages.getOrNull(1)?.let { links += it.endpoint }
        stream.start()
    }

    private fun load(): EngineLoad {
        val last = reported
        if (last != null && last.first.elapsedNow() < settings.loadLag) return last.second
        val now = currentLoad()
        reported = TimeSource.Monotonic.markNow() to now
        return now
    }

    private fun currentLoad(): EngineLoad {
        val held = state
        return EngineLoad(
            endpoint = settings.endpoint,
            state = if (faults.draining) "draining" else "serving",
            active = streams.size,
            queued = 0,
            tokensPerSecond = settings.tokensPerSecond,
            model = held.model,
            version = held.version,
            first = held.first,
            end = held.end,
            sessions = sessions.all().map { HeldSession(it.request, it.tokens) },
            linkMillis = links.associateWith { NORMAL_LINK_MILLIS + faults.slowLinkMillis },
        )
    }

    private fun cancel(
        exchange: HttpExchange,
        request: String,
    ) {
        val running = streams.filter { it.request.request == request }
        running.forEach { it.drop() }
        val known = sessions.remove(request) || running.isNotEmpty()
        if (known) exchange.reply(200, Cancelled(request)) else exchange.reply(404, ErrorBody("no_session", request))
    }

    private fun export(
        exchange: HttpExchange,
        request: String,
    ) {
        val session = sessions.get(request)
        if (session == null) exchange.reply(404, ErrorBody("no_session", request)) else exchange.reply(200, session)
    }

    private fun order(
        exchange: HttpExchange,
        order: EngineOrder,
    ) {
        val delay = faults.slowOrderMillis
        exchange.after(delay) {
            when (val result = orders.apply(order, delay)) {
                is OrderResult.Applied -> exchange.reply(200, result.state)
                is OrderResult.Refused -> exchange.reply(409, result.refusal)
            }
        }
    }

    public companion object {
        /** Starts an engine on loopback; port 0 takes a free one. */
        public fun start(
            settings: EngineSettings,
            port: Int = 0,
            onCrash: (EngineFake) -> Unit = { it.server.reset() },
        ): EngineFake = EngineFake(settings, port, onCrash)
    }
}

private fun EngineSettings.initialState() = EngineState(endpoint, model, first, end)

/** A prefix that the model did not make shows a fault of the sender. */
private fun PipelineRequest.hasRightPrefix(): Boolean {
    if (prefix.size != from) return false
    return prefix.withIndex().all { (position, token) -> token == expectedToken(model, prompt, position) }
}

private class SessionReader(
    private val result: (Session?) -> Unit,
) : HttpListener {
    private var status = 0
    private var session: Session? = null

    override fun head(
        status: Int,
        headers: Map<String, String>,
    ) {
        this.status = status
    }

    override fun line(text: String) {
        if (status == 200) session = wireJson.decodeFromString(text)
    }

    override fun ended() = result(session)

    override fun lost(cause: String) = result(null)
}
