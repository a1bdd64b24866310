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

    /** An endpoint that ends shortly after it has received a request that [isBad]. */
    private fun engine(
        name: String,
        head: (ReceivedRequest) -> String = Scripts::streamHead,
        isBad: (ReceivedRequest) -> Boolean = { "bad:" in it["Parts"].orEmpty() },
    ): ScriptedEndpoint {
        lateinit var engine: ScriptedEndpoint
        engine =
            ScriptedEndpoint(name) { request, _ ->
                write(head(request))
                if (isBad(request)) {
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

    @Test
    fun `the same holds for answers that end with their connection`() {
        engines.forEach { it.close() }
        val unframed = { request: ReceivedRequest ->
            Scripts.streamHead(request).replace("Transfer-Encoding: chunked\r\n", "") + "id: 1\n"
        }
        val others = List(ENGINES) { engine("u$it", unframed) }
        relay.configure(RelayFixture.route(RouteKind.STREAM, isResumable = true), model = RelayFixture.model)
        relay.register(*others.map { it.registration(RelayFixture.allLayers) }.toTypedArray())
        repeat(REQUESTS) { id -> send(id, "first:200,bad:50,other$id:10") }
        others.forEach { it.close() }

        expectThat(ended.size).isLessThanOrEqualTo(MAX_CRASHES)
    }

    @Test
    fun `a call under which three endpoints have ended reaches no further one when it is repeated`() {
        engines.forEach { it.close() }
        val services = List(ENGINES) { engine("s$it", head = { "" }, isBad = { it.body == "bad" }) }
        relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT, maxAttempts = 1))
        relay.register(*services.map { it.registration() }.toTypedArray())
        val statuses = (1..REQUESTS).map { relay.call(headers = mapOf("Request-Name" to "n$it"), body = "bad").status }
        services.forEach { it.close() }

        expectThat(statuses).isEqualTo(List(MAX_CRASHES) { 502 } + List(REQUESTS - MAX_CRASHES) { 503 })
        expectThat(ended.size).isEqualTo(MAX_CRASHES)
    }

    @Test
    fun `a refusal of an endpoint does not end the suspicion of a call`() {
        engines.forEach { it.close() }
        val services = List(ENGINES) { engine("s$it", head = { "" }, isBad = { it.body == "bad" }) }
        relay.configure(RelayFixture.route(RouteKind.NON_IDEMPOTENT, maxAttempts = 1))
        val statuses =
            (0 until REQUESTS).map { id ->
                val full = ScriptedEndpoint("full$id") { request, _ -> write(Scripts.refused(request)) }
                relay.register(full.registration())
                relay.call(headers = mapOf("Request-Name" to "f$id"), body = "bad")
                relay.register(services[id].registration())
                full.close()
                relay.call(headers = mapOf("Request-Name" to "n$id"), body = "bad").status
            }
        services.forEach { it.close() }

        expectThat(statuses).isEqualTo(List(MAX_CRASHES) { 502 } + List(REQUESTS - MAX_CRASHES) { 503 })
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
