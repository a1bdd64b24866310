package oriolespindle.testkit.engine

import oriolespindle.core.id.LayerRange
import oriolespindle.testkit.http.HttpCall
import oriolespindle.testkit.http.HttpExchange
import oriolespindle.testkit.http.HttpListener
import oriolespindle.testkit.http.HttpRequestSpec
import oriolespindle.testkit.http.OrderedDelay
import oriolespindle.testkit.http.wireJson
import java.util.concurrent.TimeUnit

/** How soon a stream looks again whether its caller reads. */
private const val BACKPRESSURE_CHECK_MILLIS = 5L

/** One attempt of a request at one stage; confined to the event loop of its connection. */
internal class EngineStream(
    private val engine: EngineFake,
    private val exchange: HttpExchange,
    val request: PipelineRequest,
) {
    private val stage = request.stages.first()
    private val layers = LayerRange(stage.first, stage.end)
    private val rest = request.stages.drop(1)
    private var nextPosition = request.from
    private var nextDue = 0L
    private var next: HttpCall? = null
    private var unsubscribe: () -> Unit = {}
    private var lines: FaultyLines? = null

    @Volatile
    private var finished = false

    /** A frozen stream stays silent and keeps its connections. */
    @Volatile
    var frozen: Boolean = false

    private val isSilent: Boolean
        get() {
            if (engine.faults.frozen) frozen = true
            return frozen || finished
        }

    fun start() {
        unsubscribe = exchange.onClose(::stop)
        if (rest.isEmpty()) {
            accept()
            startProducing()
        } else {
            forward()
        }
    }

    /** Closes the connections of this stream. */
    fun drop() {
        stop()
        exchange.drop()
    }

    private fun stop() {
        finished = true
        next?.cancel()
        unsubscribe()
        engine.finished(this)
    }

    private fun accept(): FaultyLines {
        hold()
        return FaultyLines(exchange.startLines(), request.model) { engine.faults }.also { lines = it }
    }

    private fun hold() = engine.sessions.hold(Session(request.request, nextPosition, layers))

    private fun startProducing() {
        nextDue = System.nanoTime() + prefillNanos()
        scheduleToken()
    }

    private fun prefillNanos() =
        if (stage.cache == CacheUse.RECOMPUTE) engine.settings.prefillDelay.inWholeNanoseconds else 0

    private fun scheduleToken() {
        exchange.loop.schedule(::produce, nextDue - System.nanoTime(), TimeUnit.NANOSECONDS)
    }

    private fun produce() {
        if (isSilent) return
        if (lines?.isWritable == false) {
            nextDue = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BACKPRESSURE_CHECK_MILLIS)
            return scheduleToken()
        }
        if (nextPosition >= request.maxTokens) {
            finish(PipelineLine(request.request, request.attempt, end = true, count = request.maxTokens))
            return
        }
        val token = expectedToken(request.model, request.prompt, nextPosition)
        val line = PipelineLine(request.request, request.attempt, nextPosition, token, listOf(trace()))
        ran(nextPosition)
        if (!send(line)) return
        nextDue = maxOf(nextDue + engine.settings.tokenDelay.inWholeNanoseconds, System.nanoTime())
        scheduleToken()
    }

    private fun trace() = listOf(layers.first, layers.end)

    private fun ran(position: Int) {
        if (position != nextPosition) return
        nextPosition++
        engine.runs.add(request.request, request.attempt, layers, position)
        hold()
    }

    private fun send(line: PipelineLine): Boolean {
        val sent = lines?.send(line) ?: false
        if (!sent) stop()
        return sent
    }

    /** Sends the last line; a session that can be continued is kept. */
    private fun finish(line: PipelineLine) {
        if (isSilent) return
        if (line.end == true) engine.sessions.remove(request.request)
        if (!send(line)) return
        lines?.end()
        stop()
    }

    private fun forward() {
        val body = wireJson.encodeToString(request.copy(stages = rest))
        val call = HttpRequestSpec(rest.first().address, "POST", "/v1/pipeline", body)
        next = HttpCall.start(call, Relay(), exchange.loop)
    }

    private fun lost() {
        val line =
            PipelineLine(request.request, request.attempt, error = "stage_lost", endpoint = rest.first().endpoint)
        if (lines == null) accept()
        finish(line)
    }

    private inner class Relay : HttpListener {
        private val link = OrderedDelay(exchange.loop)
        private var status = 0
        private val readyAt = System.nanoTime() + prefillNanos()
        private var complete = false

        override fun head(
            status: Int,
            headers: Map<String, String>,
        ) {
            this.status = status
            if (status == 200) accept()
        }

        override fun line(text: String) {
            if (status == 503) {
                finished = true
                exchange.replyText(503, text, NOT_RUN_HEADER)
                stop()
            } else if (status == 200) {
                val line = wireJson.decodeFromString<PipelineLine>(text)
                complete = complete || line.end == true || line.error != null
                delayed { relay(line) }
            }
        }

        override fun ended() {
            if (!complete) delayed(::lost)
        }

        override fun lost(cause: String) {
            if (!complete) delayed(::lost)
        }

        private fun delayed(action: () -> Unit) {
            val prefill = TimeUnit.NANOSECONDS.toMillis(maxOf(0, readyAt - System.nanoTime()))
            link.run(maxOf(prefill, engine.faults.slowLinkMillis)) { if (!isSilent) action() }
        }

        private fun relay(line: PipelineLine) {
            val position = line.position
            if (position == null) return finish(line)
            if (line.request == request.request) ran(position)
            send(line.copy(layers = listOf(trace()) + line.layers.orEmpty()))
            pauseUntilWritable()
        }

        private fun pauseUntilWritable() {
            val writable = lines?.isWritable != false
            next?.reading(writable)
            if (!writable) {
                exchange.loop.schedule(::pauseUntilWritable, BACKPRESSURE_CHECK_MILLIS, TimeUnit.MILLISECONDS)
            }
        }
    }
}
