package oriolespindle.router.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.core.relay.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against requests that share a part of their prompts and end one engine after the other. */
class SharedPartCrashTest {
    private val relay = RelayFixture()
    private val ended = CopyOnWriteArrayList<String>()
    private val engines = List(ENGINES) { index -> engine("e$index") }

    @AfterEach
    fun close() {
        relay.close()
        engines.forEach { it.close() }
    }

    /** An engine that ends shortly after it has received a request with the part `bad`. */
    private fun engine(name: String): ScriptedEndpoint {
        lateinit var engine: ScriptedEndpoint
        engine =
            ScriptedEndpoint(name) { request, _ ->
                write(Scripts.streamHead(request))
                if ("bad:" in request["Parts"].orEmpty()) {
                    Thread.sleep(CRASH_DELAY_MILLIS)
                    ended += name
                    engine.close()
                } else {
                    write((1..EVENTS).joinToString("") { Scripts.chunk(Scripts.event(it)) } + Scripts.LAST_CHUNK)
                }
            }
        return engine
    }

    private fun send(
        id: Int,
        parts: String,
    ): RawAnswer =
        relay.call(
            headers = mapOf("Request-Name" to "n$id", "Parts" to "$parts,own$id:30", "Time-Left" to "1500"),
            body = "body $id",
        )

    @Test
    fun `a part of the prompts under which three engines have ended reaches no further one`() {
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        relay.register(*engines.map { it.registration(RelayFixture.allLayers) }.toTypedArray())
        expectThat(send(0, "first:200,other:50").status).isEqualTo(200)
        val bad =
            (1..REQUESTS).map { id ->
                expectThat(send(HUNDRED + id, "first:200,other:50").status).isEqualTo(200)
                send(id, "first:200,bad:50,other$id:10").status
            }

        expectThat(ended.size).isLessThanOrEqualTo(MAX_CRASHES)
        expectThat(bad.takeLast(REQUESTS - MAX_CRASHES).toSet()).isEqualTo(setOf(503))
    }

    private companion object {
        const val ENGINES = 14
        const val REQUESTS = 6
        const val HUNDRED = 100
        const val EVENTS = 5
        const val CRASH_DELAY_MILLIS = 80L

        /** The most engines that such requests may end, the same as for one request that is repeated. */
        const val MAX_CRASHES = 3
    }
}
