package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.id.LayerRange
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a part of prompts that ends one engine after the other late in answers and is never rejected. */
class PartCrashLateInStreamTest {
    private val relay = RelayFixture()
    private val engines = ArrayList<ScriptedEndpoint>()
    private val ended = AtomicInteger()

    @AfterEach
    fun close() {
        relay.close()
        engines.forEach { it.close() }
    }

    /** Serves streams with engines that end after as many events of a harmful answer as [eventsBeforeEnd] returns. */
    private fun serve(
        isResumable: Boolean = true,
        eventsBeforeEnd: (Int) -> Int,
    ) {
        repeat(ENGINES) { index ->
            lateinit var engine: ScriptedEndpoint
            engine =
                ScriptedEndpoint("e$index") { request, _ ->
                    val next = (request["Last-Event-Id"]?.toInt() ?: 0) + 1
                    val isHarmful = "bad:" in request["Parts"].orEmpty()
                    val last = if (isHarmful) minOf(next + eventsBeforeEnd(index) - 1, EVENTS) else EVENTS
                    val events = (next..last).joinToString("") { Scripts.chunk(Scripts.event(it)) }
                    write(Scripts.streamHead(request) + events)
                    if (isHarmful) {
                        Thread.sleep(CRASH_DELAY_MILLIS)
                        ended.incrementAndGet()
                        engine.close()
                    } else {
                        write(Scripts.LAST_CHUNK)
                    }
                }
            engines += engine
        }
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = isResumable), model = RelayFixture.model)
        relay.register(*engines.map { it.registration(RelayFixture.allLayers) }.toTypedArray())
    }

    private fun send(
        name: String,
        parts: String,
    ): RawAnswer =
        relay.call(
            headers = mapOf("Request-Name" to name, "Parts" to "$parts,own-$name:30", "Time-Left" to "1500"),
            body = "body $name",
        )

    private fun sendBoth(beforeEach: () -> Unit = {}) {
        repeat(REQUESTS) { number ->
            beforeEach()
            send("sound$number", "first:200,other:50")
            send("bad$number", "first:200,bad:50,other$number:10")
        }
    }

    private fun expectPartRejected() {
        expectThat(ended.get()).isLessThanOrEqualTo(MAX_ENDED)
        expectThat(send("last-bad", "first:200,bad:50,other:10").status).isEqualTo(503)
        expectThat(send("last-sound", "first:200,other:50").isComplete).isEqualTo(true)
    }

    @Test
    fun `engines that end after some events`() {
        serve { EVENTS_BEFORE_END }
        sendBoth()
        expectPartRejected()
    }

    @Test
    fun `engines that end after numbers of events that differ`() {
        serve { 1 + it % EVENTS }
        sendBoth()
        expectPartRejected()
    }

    @Test
    fun `engines that end after the last event`() {
        serve { EVENTS }
        sendBoth()
        expectPartRejected()
    }

    @Test
    fun `streams that are not resumed`() {
        serve(isResumable = false) { EVENTS_BEFORE_END }
        sendBoth()
        expectPartRejected()
    }

    @Test
    fun `engines behind the first that end after some events`() {
        val behind = List(ENGINES) { ScriptedEndpoint("behind$it") { _, _ -> } }
        val registered = CopyOnWriteArrayList(behind)
        val first =
            ScriptedEndpoint("first") { request, _ ->
                relay.stallReport = StallReport.Alive
                val isHarmful = "bad:" in request["Parts"].orEmpty()
                val next = (request["Last-Event-Id"]?.toInt() ?: 0) + 1
                val last = if (isHarmful) minOf(next + EVENTS_BEFORE_END - 1, EVENTS) else EVENTS
                write(Scripts.streamHead(request) + (next..last).joinToString("") { Scripts.chunk(Scripts.event(it)) })
                if (!isHarmful) return@ScriptedEndpoint write(Scripts.LAST_CHUNK)
                val address = checkNotNull(request["Path"]).substringAfter(',').substringBefore('=')
                Thread.sleep(CRASH_DELAY_MILLIS)
                ended.incrementAndGet()
                registered.first { it.address == address }.also(registered::remove).close()
                relay.stallReport = StallReport.WaitsFor(address)
                Thread.sleep(SILENT_MILLIS)
            }
        engines += behind + first
        val layers = RelayFixture.allLayers
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        sendBoth {
            relay.register(
                first.registration(LayerRange(layers.first, FIRST_LAYERS)),
                *registered.map { it.registration(LayerRange(FIRST_LAYERS, layers.end)) }.toTypedArray(),
            )
        }
        expectPartRejected()
    }

    private companion object {
        const val ENGINES = 24
        const val REQUESTS = 14
        const val EVENTS = 6
        const val EVENTS_BEFORE_END = 3
        const val FIRST_LAYERS = 2
        const val SILENT_MILLIS = 20_000L
        const val CRASH_DELAY_MILLIS = 80L

        /** The platform's limit: three such requests may reach engines after the fifth has ended. */
        const val MAX_ENDED = 5 + 3
    }
}
