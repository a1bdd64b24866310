package oriolespindle.bench.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.load.LoadReport
import oriolespindle.core.load.SharedLoad
import oriolespindle.core.placement.Accelerator
import oriolespindle.core.placement.LayerPath
import oriolespindle.core.placement.ModelLayout
import oriolespindle.core.placement.PathBalance
import oriolespindle.core.placement.PathFinder
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.time.Timestamp
import java.lang.management.ManagementFactory
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.seconds

private const val ENDPOINTS = 300
private const val PEERS = 26
private const val ROUNDS = 21
private const val ROUND_CHOICES = 2_000
private const val TOKENS = 1_000
private const val NANOS_PER_MICRO = 1_000.0
private val ZONE = ZoneId("z0")
private val ACCELERATORS =
    listOf(Accelerator("large", 72_000.0, 2.4, 3.2), Accelerator("small", 36_000.0, 5.3, 7.9)).associateBy { it.name }
private val LAYOUT = ModelLayout(80, 1_750.0, 10_567.0, ACCELERATORS, 1.02, 0.0066, 164_000.0, 14.seconds, 6, 775, 216)

/** Prints the processor time of a choice of a path by own requests alone, and by load reports with random factors. */
public fun main() {
    val own = PathChoices(isShared = false)
    val shared = PathChoices(isShared = true)
    val rounds = List(ROUNDS) { own.roundMicros() to shared.roundMicros() }.drop(ROUNDS / 3)
    val median = { values: List<Double> -> values.sorted()[values.size / 2] }
    println("$ENDPOINTS endpoints, own requests: %.1f µs a choice".format(median(rounds.map { it.first })))
    println("$ENDPOINTS endpoints, load reports: %.1f µs a choice".format(median(rounds.map { it.second })))
}

private class PathChoices(
    isShared: Boolean,
) {
    private val random = SplittableRandom(1)
    private val endpoints =
        List(ENDPOINTS) { index ->
            val first = index / 3 % 8 * 10
            RelayEndpoint(
                id = EndpointId("e$index"),
                service = ServiceId("m"),
                address = "10.0.0.1:80",
                zone = ZoneId("z${index % 3}"),
                startedAt = 1,
                slots = 100,
                accelerator = if (index / 24 % 2 == 0) "large" else "small",
                layers = LayerRange(first, first + 10),
            )
        }
    private val byId = endpoints.associateBy { it.id }
    private val load = SharedLoad().apply { instances = PEERS + 1 }
    private val balance = if (isShared) PathBalance(SplittableRandom(2), load::choiceFactor) else null
    private val finder = PathFinder(ZONE)
    private val running = ArrayDeque<LayerPath>()

    init {
        if (isShared) {
            for (peer in 1..PEERS) {
                val tokens = endpoints.filter { it.zone == ZONE }.associate { it.id to random.nextLong(1, 40_000) }
                load.onReport(Timestamp.ZERO, LoadReport(InstanceId("i$peer"), 1, tokens))
            }
        }
    }

    fun roundMicros(): Double {
        val threads = ManagementFactory.getThreadMXBean()
        val start = threads.currentThreadCpuTime
        repeat(ROUND_CHOICES) { choose() }
        return (threads.currentThreadCpuTime - start) / NANOS_PER_MICRO / ROUND_CHOICES
    }

    private fun choose() {
        val path = checkNotNull(finder.find(LAYOUT, endpoints, ::loadOf, balance = balance))
        load.onRequestStarted(path, TOKENS)
        running.addLast(path)
        if (running.size > REQUESTS_IN_PROGRESS) load.onRequestEnded(running.removeFirst(), TOKENS)
    }

    private fun loadOf(id: EndpointId): Double {
        val endpoint = byId.getValue(id)
        val accelerator = ACCELERATORS.getValue(checkNotNull(endpoint.accelerator))
        return load.utilization(LAYOUT, accelerator, id, checkNotNull(endpoint.layers).size)
    }

    private companion object {
        const val REQUESTS_IN_PROGRESS = 30
    }
}
