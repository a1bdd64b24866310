package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.RequestId
import oriolespindle.core.time.Timestamp
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How one instance routes; the selector and the strategies it is compared with. */
internal interface Routing {
    fun choose(
        now: Timestamp,
        query: RouteQuery,
    ): Chain

    fun started(
        now: Timestamp,
        request: RequestId,
        chain: Chain,
    ) = Unit

    fun finished(
        now: Timestamp,
        request: RequestId,
        chain: Chain,
    ) = Unit

    fun report(
        now: Timestamp,
        report: LoadReport,
    ) = Unit
}

/** Routes with a [ChainSelector]. */
internal class SelectorRouting(
    private val selector: ChainSelector,
) : Routing {
    override fun choose(
        now: Timestamp,
        query: RouteQuery,
    ): Chain = (selector.choose(now, query) as ChainChoice.Chosen).chain

    override fun started(
        now: Timestamp,
        request: RequestId,
        chain: Chain,
    ) = selector.started(now, request, chain, tokens = 100)

    override fun finished(
        now: Timestamp,
        request: RequestId,
        chain: Chain,
    ) = selector.finished(now, request)

    override fun report(
        now: Timestamp,
        report: LoadReport,
    ) = selector.report(now, report)
}

/** Builds a chain stage by stage; [rank] orders the endpoints that hold the next layer, the least is taken. */
internal class StageRouting(
    private val topology: Topology,
    private val rank: StageRouting.(EndpointSpec) -> Int,
) : Routing {
    private val uses = HashMap<EndpointId, Int>()
    private val own = HashMap<EndpointId, Int>()
    private val reported = HashMap<EndpointId, Int>()

    fun turns(spec: EndpointSpec): Int = uses[spec.id] ?: 0

    fun inFlight(spec: EndpointSpec): Int = (own[spec.id] ?: 0) + (reported[spec.id] ?: 0)

    override fun choose(
        now: Timestamp,
        query: RouteQuery,
    ): Chain {
        val stages = ArrayList<Stage>()
        var boundary = 0
        while (boundary < topology.model.layers) {
            val holders = topology.endpoints.filter { boundary in it.layers.first until it.layers.end }
            val next = holders.minWith(compareBy({ rank(it) }, ::turns))
            uses.merge(next.id, 1, Int::plus)
            stages += Stage(next.id, LayerRange(boundary, next.layers.end))
            boundary = next.layers.end
        }
        return Chain(topology.model.id, stages)
    }

    override fun started(
        now: Timestamp,
        request: RequestId,
        chain: Chain,
    ) = chain.stages.forEach { own.merge(it.endpoint, 1, Int::plus) }

    override fun finished(
        now: Timestamp,
        request: RequestId,
        chain: Chain,
    ) = chain.stages.forEach { own.merge(it.endpoint, -1, Int::plus) }

    override fun report(
        now: Timestamp,
        report: LoadReport,
    ) {
        reported[report.endpoint] = report.active + report.queued
    }
}

/**
 * Runs streams over a fleet in virtual time, each instance with a fixed number of them, and counts tokens.
 *
 * Endpoints and links serve one token at a time in order of arrival at their rate. Each endpoint's load is reported
 * once a second and reaches each instance 1 to 3 seconds later.
 */
internal class RoutingRun(
    private val topology: Topology,
    private val instances: List<Routing>,
    private val streams: List<Int>,
    seed: Long,
) {
    private val random = SplittableRandom(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private val endpoints = topology.endpoints.associate { it.id to Server(it.tokensPerSecond) }
    private val links = topology.links.associate { (it.from to it.to) to Server(it.tokensPerSecond) }
    private val zones = topology.endpoints.map { it.zone }.distinct()
    private var now = Timestamp.ZERO
    private var order = 0L
    private var requests = 0
    private var tokens = 0L

    /** Returns the tokens per second between [warmUp] and [end]. */
    fun tokensPerSecond(
        warmUp: Duration = 20.seconds,
        end: Duration = 60.seconds,
    ): Double {
        streams.forEachIndexed { instance, count -> repeat(count) { start(instance) } }
        topology.endpoints.forEach { spec -> after(random.nextInt(1_000).milliseconds) { reportLoad(spec.id) } }
        after(warmUp) { tokens = 0 }
        val stop = Timestamp.ZERO + end
        while (true) {
            val event = events.remove()
            if (event.at >= stop) return tokens / (end - warmUp).inWholeSeconds.toDouble()
            now = event.at
            event.action()
        }
    }

    private fun start(instance: Int) {
        val routing = instances[instance]
        val request = RequestId("r${requests++}")
        val chain = routing.choose(now, query(request.value, zone = zones[instance % zones.size].value))
        routing.started(now, request, chain)
        chain.stages.forEach { endpoints.getValue(it.endpoint).sessions++ }
        step(Stream(instance, request, chain, left = 20 + random.nextInt(180)), stage = 0)
    }

    private fun step(
        stream: Stream,
        stage: Int,
    ) {
        val at = stream.chain.stages[stage].endpoint
        val done = endpoints.getValue(at).serve(now)
        val next =
            stream.chain.stages
                .getOrNull(stage + 1)
                ?.endpoint
        when {
            next != null -> schedule(done) { send(stream, stage, at to next) }
            else -> schedule(done) { token(stream) }
        }
    }

    private fun send(
        stream: Stream,
        stage: Int,
        link: Pair<EndpointId, EndpointId>,
    ) {
        val sent = links[link]?.serve(now) ?: now
        schedule(sent + LATENCY) { step(stream, stage + 1) }
    }

    private fun token(stream: Stream) {
        tokens++
        stream.left--
        if (stream.left > 0) return schedule(now + LATENCY) { step(stream, 0) }
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
    ) = schedule(now + delay, action)

    private fun schedule(
        at: Timestamp,
        action: () -> Unit,
    ) {
        events.add(Event(at, order++, action))
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
        val LATENCY = 500.milliseconds / 1_000
    }
}
