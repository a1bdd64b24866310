package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.id.LayerRange
import oriolespindle.core.relay.RouteKind
import oriolespindle.router.http.Address
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Streams whose path has an engine, behind the first one, that ends or only seems to. */
class EndedEndpointTest {
    private val relay = RelayFixture()
    private val endpoints = ArrayList<ScriptedEndpoint>()
    private val front = LayerRange(0, 2)
    private val back = LayerRange(2, RelayFixture.allLayers.end)
    private val behind = List(2) { endpoint("behind$it") { _, _ -> } }
    private val resumed = CountDownLatch(1)
    private var wasResumedInTime = false

    @AfterEach
    fun close() {
        relay.close()
        endpoints.forEach { it.close() }
    }

    private fun endpoint(
        name: String,
        script: ScriptedConnection.(ReceivedRequest, Int) -> Unit,
    ): ScriptedEndpoint = ScriptedEndpoint(name, script).also { endpoints += it }

    private fun serve(
        first: ScriptedEndpoint,
        isResumable: Boolean = true,
        maxEventGap: Duration? = 200.milliseconds,
        others: List<ScriptedEndpoint> = emptyList(),
    ) {
        val route = RelayFixture.route(RouteKind.STREAM, isResumable).copy(maxEventGap = maxEventGap)
        relay.configure(route, model = RelayFixture.model)
        val fronts = (listOf(first) + others).map { it.registration(front) }
        relay.register(*(fronts + behind.map { it.registration(back) }).toTypedArray())
    }

    private fun behindOf(request: ReceivedRequest): ScriptedEndpoint {
        val address = checkNotNull(request["Path"]).substringAfter(',').substringBefore('=')
        return behind.first { it.address == address }
    }

    private fun ScriptedConnection.writeEvents(ids: IntRange) =
        ids.forEach {
            write(Scripts.chunk(Scripts.event(it)))
            Thread.sleep(EVENT_MILLIS)
        }

    /**
     * Streams two events, runs [onFirst], waits for a second run, and goes on if there is none within [patience].
     *
     * A stream that is moved for its silence alone is moved after the [patience].
     */
    private fun first(
        patience: Long = PATIENCE_MILLIS,
        name: String = "first",
        onFirst: ScriptedConnection.(ReceivedRequest) -> Unit,
    ): ScriptedEndpoint =
        endpoint(name) { request, _ ->
            write(Scripts.streamHead(request))
            if (request["Last-Event-Id"] == null) {
                writeEvents(1..2)
                onFirst(request)
                wasResumedInTime = resumed.await(patience, TimeUnit.MILLISECONDS)
            } else {
                resumed.countDown()
            }
            writeEvents(3..4)
            write(Scripts.LAST_CHUNK)
        }

    private fun expectWhole(answer: RawAnswer) {
        expectThat(answer.body.removeSuffix("0")).isEqualTo((1..4).joinToString("") { Scripts.event(it) })
        expectThat(answer.isComplete).isTrue()
    }

    private fun hint(engine: ScriptedEndpoint) =
        DatagramSocket().use { peer ->
            val id = engine.registration().id.value
            val bytes = """{"ended":"$id","startedAt":1,"from":"other"}""".toByteArray()
            val to = InetAddress.getByName(relay.refusals.host)
            peer.send(DatagramPacket(bytes, bytes.size, to, relay.refusals.port))
        }

    /** Guards against streams that wait for an ended engine until the limits for silent engines move them. */
    @Test
    fun `a stream is resumed elsewhere when an engine behind the first one ends`() {
        val first = first { behindOf(it).close() }
        serve(first)
        expectWhole(relay.call())

        expectThat(wasResumedInTime).isTrue()
        expectThat(first.requests[1]["Last-Event-Id"]).isEqualTo("2")
        expectThat(behindOf(first.requests[1])).isNotEqualTo(behindOf(first.requests[0]))
    }

    /** Guards against new behavior for requests whose routes state no gap. */
    @Test
    fun `a stream of a route without a maximum gap stays until the limits for silent engines`() {
        val first = first { behindOf(it).close() }
        serve(first, maxEventGap = null)
        expectWhole(relay.call())
        expectThat(first.requests).hasSize(1)
    }

    /** Guards against running a request twice that must run once. */
    @Test
    fun `a stream that may not run again stays`() {
        val first = first { behindOf(it).close() }
        serve(first, isResumable = false)
        expectWhole(relay.call())
        expectThat(first.requests).hasSize(1)
    }

    /** Guards against leaving a sound engine that is silent for about a second. */
    @Test
    fun `a stream stays while the engines of its path listen`() {
        val first = first(patience = SOUND_SILENCE_MILLIS) {}
        val other = first(patience = SOUND_SILENCE_MILLIS, name = "other") {}
        serve(first, others = listOf(other))
        expectWhole(relay.call())
        expectThat(first.requests.size + other.requests.size).isEqualTo(1)
    }

    /** Guards against taking the closed listener of a process that leaves for its end. */
    @Test
    fun `a stream stays when an engine that leaves closes its listener`() {
        val first =
            first { request ->
                val leaving = behindOf(request)
                val others = behind.filter { it !== leaving }.map { it.registration(back) }
                val own = requireNotNull(endpoints.last()).registration(front)
                relay.register(own, leaving.registration(back).copy(isLeaving = true), *others.toTypedArray())
                leaving.close()
            }
        serve(first)
        expectWhole(relay.call())
        expectThat(first.requests).hasSize(1)
    }

    /** Guards against acting on a refusal alone, which engines also send while they leave or are short of memory. */
    @Test
    fun `a refusal that names an engine which listens moves no other stream`() {
        lateinit var used: ScriptedEndpoint
        val first =
            endpoint("first") { request, _ ->
                if (request["Request-Name"] == "n2") {
                    val faulty = "Not-Run: 1\r\nFaulty: ${used.address}\r\n"
                    write(Scripts.refused(request).replace("Not-Run: 1\r\n", faulty))
                } else {
                    write(Scripts.streamHead(request))
                    writeEvents(1..2)
                    used = behindOf(request)
                    relay.call(headers = mapOf("Request-Name" to "n2"))
                    Thread.sleep(PROBE_MILLIS)
                    writeEvents(3..4)
                    write(Scripts.LAST_CHUNK)
                }
            }
        serve(first)
        expectWhole(relay.call())
        expectThat(first.requests.count { it["Request-Name"] == "n1" }).isEqualTo(1)
    }

    /** Guards against losing time until the own streams fall silent, although another instance knows the end. */
    @Test
    fun `a hint moves a stream that still receives what the first engine had before another one ended`() {
        val first =
            endpoint("first") { request, _ ->
                write(Scripts.streamHead(request))
                val last = request["Last-Event-Id"]?.toInt() ?: 0
                if (last == 0) behindOf(request).close().also { hint(behindOf(request)) }
                writeEvents(last + 1..EVENTS_WITH_HINT)
                write(Scripts.LAST_CHUNK)
            }
        serve(first)
        val answer = relay.call()

        expectThat(
            answer.body.removeSuffix("0"),
        ).isEqualTo((1..EVENTS_WITH_HINT).joinToString("") { Scripts.event(it) })
        expectThat(first.requests).hasSize(2)
    }

    /** Guards against acting on the word of an instance whose own links are at fault. */
    @Test
    fun `a hint about a sound engine changes nothing`() {
        val first = first(patience = SOUND_SILENCE_MILLIS) { hint(behindOf(it)) }
        serve(first)
        expectWhole(relay.call())
        resumed.countDown()
        expectWhole(relay.call(headers = mapOf("Request-Name" to "n2")))

        expectThat(first.requests).hasSize(2)
        expectThat(behindOf(first.requests[1])).isEqualTo(behindOf(first.requests[0]))
    }

    /** Guards against each instance having to find the same end by its own silent streams. */
    @Test
    fun `the other instances of the zone are told of an end`() {
        DatagramSocket(0, InetAddress.getLoopbackAddress()).use { peer ->
            peer.soTimeout = PEER_TIMEOUT_MILLIS
            relay.setPeer("other", Address("127.0.0.1", peer.localPort))
            val first = first { behindOf(it).close() }
            serve(first)
            relay.call()
            val hints = ArrayList<String>()
            while (hints.none { "\"ended\"" in it }) {
                val packet = DatagramPacket(ByteArray(DATAGRAM_BYTES), DATAGRAM_BYTES)
                peer.receive(packet)
                hints += String(packet.data, 0, packet.length)
            }
            val id = behindOf(first.requests[0]).registration().id.value
            expectThat(
                hints.last(),
            ).contains("\"startedAt\":1").contains("\"ended\":\"$id\"").contains("\"from\":\"i\"")
        }
    }

    /** Guards against faster moves of a harmful request to more engines than the guard allows. */
    @Test
    fun `a request under which engines behind the first one end reaches three of them`() {
        val ends = CopyOnWriteArrayList<String>()
        val all = List(HARMFUL_ENGINES) { endpoint("b$it") { _, _ -> } }
        val first =
            endpoint("first") { request, _ ->
                write(Scripts.streamHead(request))
                val address = checkNotNull(request["Path"]).substringAfter(',').substringBefore('=')
                ends += address
                all.first { it.address == address }.close()
                resumed.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)
            }
        val route = RelayFixture.route(RouteKind.STREAM, isResumable = true, maxAttempts = HARMFUL_ENGINES)
        relay.configure(route.copy(maxEventGap = 200.milliseconds), model = RelayFixture.model)
        relay.register(first.registration(front), *all.map { it.registration(back) }.toTypedArray())
        val statuses = (1..4).map { relay.call(headers = mapOf("Request-Name" to "n$it"), body = "bad").status }

        expectThat(ends.size).isLessThanOrEqualTo(MAX_CRASHES)
        expectThat(statuses.last()).isEqualTo(503)
        expectThat(first.requests.size > MAX_CRASHES).isFalse()
    }

    /** Guards against sending a harmful request on before the guard knows it, among many streams of one engine. */
    @Test
    fun `the same holds while sound streams are moved with it, and they are completed`() {
        val ends = CopyOnWriteArrayList<String>()
        val all = List(HARMFUL_ENGINES) { endpoint("b$it") { _, _ -> } }
        val first =
            endpoint("first") { request, _ ->
                write(Scripts.streamHead(request))
                val address = checkNotNull(request["Path"]).substringAfter(',').substringBefore('=')
                if (request.body == "bad") {
                    ends += address
                    all.first { it.address == address }.close()
                }
                for (id in (request["Last-Event-Id"]?.toInt() ?: 0) + 1..SOUND_EVENTS) {
                    if (address in ends) Thread.sleep(PATIENCE_MILLIS)
                    writeEvents(id..id)
                }
                write(Scripts.LAST_CHUNK)
            }
        val route = RelayFixture.route(RouteKind.STREAM, isResumable = true, maxAttempts = HARMFUL_ENGINES)
        relay.configure(route.copy(maxEventGap = 200.milliseconds), model = RelayFixture.model)
        relay.register(first.registration(front), *all.map { it.registration(back) }.toTypedArray())
        val sound =
            (1..SOUND_STREAMS).map { number ->
                CompletableFuture.supplyAsync {
                    relay.call(headers = mapOf("Request-Name" to "s$number"), body = "sound $number")
                }
            }
        val bad = (1..4).map { relay.call(headers = mapOf("Request-Name" to "n$it"), body = "bad").status }

        expectThat(ends.size).isLessThanOrEqualTo(MAX_CRASHES)
        expectThat(bad.last()).isEqualTo(503)
        expectThat(sound.map { it.get().isComplete }).isEqualTo(List(SOUND_STREAMS) { true })
    }

    private companion object {
        const val EVENT_MILLIS = 20L

        /** Less than the 1,200 ms after which a silent stream is moved although its engines may be sound. */
        const val PATIENCE_MILLIS = 1_000L
        const val SOUND_SILENCE_MILLIS = 900L

        /** Enough for two probes. */
        const val PROBE_MILLIS = 150L
        const val EVENTS_WITH_HINT = 40
        const val PEER_TIMEOUT_MILLIS = 5_000
        const val DATAGRAM_BYTES = 4_096
        const val HARMFUL_ENGINES = 8
        const val MAX_CRASHES = 3
        const val SOUND_STREAMS = 4
        const val SOUND_EVENTS = 60
    }
}
