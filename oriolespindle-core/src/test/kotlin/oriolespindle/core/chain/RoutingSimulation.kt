package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.RequestId
import oriolespindle.core.time.Timestamp
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The routing of one instance: a [ChainSelector] or one of the strategies that it is compared with. */
internal class RoutingStrategy(
    val choose: (Timestamp, RouteQuery) -> Chain,
    val started: (Timestamp, RequestId, Chain) -> Unit,
    val finished: (Timestamp, RequestId, Chain) -> Unit,
    val report: (Timestamp, LoadReport) -> Unit,
)

internal fun selectorStrategy(selector: ChainSelector): RoutingStrategy =
    RoutingStrategy(
        choose = { now, query -> (selector.choose(now, query) as ChainChoice.Chosen).chain },
        started = { now, request, chain -> selector.onStarted(now, request, chain, tokens = 100) },
        finished = { now, request, _ -> selector.onFinished(now, request) },
        report = selector::onLoadReport,
    )

/** Returns a strategy that builds a chain stage by stage, at each step with the endpoint of the lowest [rank]. */
internal fun greedyStrategy(
    topology: Topology,
    rank: (EndpointSpec, inFlight: Int) -> Int,
): RoutingStrategy {
    val uses = HashMap<EndpointId, Int>()
    val own = HashMap<EndpointId, Int>()
    val reported = HashMap<EndpointId, Int>()

    fun next(boundary: Int): Stage {
        val holders = topology.endpoints.filter { boundary in it.layers.first until it.layers.end }
        val inFlight = { id: EndpointId -> (own[id] ?: 0) + (reported[id] ?: 0) }
        val next = holders.minWith(compareBy({ rank(it, inFlight(it.id)) }, { uses[it.id] ?: 0 }))
        uses.merge(next.id, 1, Int::plus)
        return Stage(next.id, LayerRange(boundary, next.layers.end))
    }
    return RoutingStrategy(
        choose = { _, _ ->
            val stages = generateSequence(next(0)) { if (it.layers.end < MODEL.layers) next(it.layers.end) else null }
            Chain(MODEL.id, stages.toList())
        },
        started = { _, _, chain -> chain.stages.forEach { own.merge(it.endpoint, 1, Int::plus) } },
        finished = { _, _, chain -> chain.stages.forEach { own.merge(it.endpoint, -1, Int::plus) } },
        report = { _, report -> reported[report.endpoint] = report.active },
    )
}

/**
 * Simulates a fleet in virtual time, with a fixed number of streams for each instance, and counts tokens.
 *
 * Endpoints and links serve one token at a time, in order of arrival. Each endpoint reports its load once a second; the
 * report reaches each instance 1 to 3 seconds later.
 */
internal class RoutingSimulation(
    private val topology: Topology,
    private val instances: List<RoutingStrategy>,
    private val streams: List<Int>,
    seed: Long,
) {
    private val random = SplittableRandom(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private val endpoints = topology.endpoints.associate { it.id to Server(it.tokensPerSecond) }
    private val links = topology.links.associate { (it.from to it.to) to Server(it.tokensPerSecond) }
    private var now = Timestamp.ZERO
    private var order = 0L
    private var requests = 0
    private var tokens = 0L

    /** Returns the tokens per second after [WARM_UP]. */
    fun tokensPerSecond(): Double {
        streams.forEachIndexed { instance, count -> repeat(count) { start(instance) } }
        topology.endpoints.forEach { spec -> after(random.nextInt(1_000).milliseconds) { reportLoad(spec.id) } }
        after(WARM_UP) { tokens = 0 }
        while (true) {
            val event = events.remove()
            if (event.at >= Timestamp.ZERO + END) return tokens / (END - WARM_UP).inWholeSeconds.toDouble()
            now = event.at
            event.action()
        }
    }

    private fun start(instance: Int) {
        val request = RequestId("r${requests++}")
        val chain = instances[instance].choose(now, query(request.value, zone = "z${instance % 3 + 1}"))
        instances[instance].started(now, request, chain)
        chain.stages.forEach { endpoints.getValue(it.endpoint).sessions++ }
        runStage(Stream(instance, request, chain, left = 20 + random.nextInt(180)), stage = 0)
    }

    private fun runStage(
        stream: Stream,
        stage: Int,
    ) {
        val at = stream.chain.stages[stage].endpoint
        val done = endpoints.getValue(at).serve(now) - now
        val next = stream.chain.stages.getOrNull(stage + 1) ?: return after(done) { onToken(stream) }
        after(done) {
            val sent = links[at to next.endpoint]?.serve(now) ?: now
            after(sent - now + LATENCY) { runStage(stream, stage + 1) }
        }
    }

    private fun onToken(stream: Stream) {
        tokens++
        stream.left--
        if (stream.left > 0) return after(LATENCY) { runStage(stream, 0) }
        stream.chain.stages.forEach { endpoints.getValue(it.endpoint).sessions-- }
        instances[stream.instance].finished(now, stream.request, stream.chain)
        start(stream.instance)
    }

    private fun reportLoad(id: EndpointId) {
        val server = endpoints.getValue(id)
        val report = LoadReport(id, now, server.sessions, queued = 0, server.rate)
        for (routing in instances) after((1_000 + random.nextInt(2_000)).milliseconds) { routing.report(now, report) }
        after(1.seconds) { reportLoad(id) }
    }

    private fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events.add(Event(now + delay, order++, action))
    }

    private class Stream(
        val instance: Int,
        val request: RequestId,
        val chain: Chain,
        var left: Int,
    )

    private class Server(
        val rate: Double,
    ) {
        var sessions = 0
        private var freeAt = Timestamp.ZERO

        fun serve(now: Timestamp): Timestamp {
            freeAt = maxOf(freeAt, now) + (1 / rate).seconds
            return freeAt
        }
    }

    private class Event(
        val at: Timestamp,
        val order: Long,
        val action: () -> Unit,
    )

    private companion object {
        val LATENCY = 500.microseconds
        val WARM_UP = 20.seconds
        val END = 60.seconds
    }
}
