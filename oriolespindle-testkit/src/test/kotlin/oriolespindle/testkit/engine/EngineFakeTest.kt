package oriolespindle.testkit.engine

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.http.TestReply
import oriolespindle.testkit.http.wireJson
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNull
import java.io.IOException
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class EngineFakeTest {
    private val first = EngineFake.start(EngineSettings("e1", "demo", first = 0, end = 20))
    private val second = EngineFake.start(EngineSettings("e2", "demo", first = 20, end = 40))

    @AfterEach
    fun stop() {
        first.close()
        second.close()
    }

    private val chain =
        listOf(
            PipelineStage("e1", first.address, 0, 20),
            PipelineStage("e2", second.address, 20, 40),
        )

    private fun request(from: Int = 0) =
        PipelineRequest(
            request = "r1",
            attempt = 1,
            model = "demo",
            prompt = "hello",
            maxTokens = 5,
            from = from,
            prefix = List(from) { expectedToken("demo", "hello", it) },
            stages = chain,
        )

    private fun run(request: PipelineRequest): TestReply =
        TestClient(first.address).call("POST", "/v1/pipeline", wireJson.encodeToString(request))

    private fun TestReply.parsed() = lines.map { wireJson.decodeFromString<PipelineLine>(it) }

    @Test
    fun `a chain gives each token once with every layer in order`() {
        val lines = run(request()).parsed()

        expectThat(lines.dropLast(1)).isEqualTo(
            List(5) {
                PipelineLine("r1", 1, it, expectedToken("demo", "hello", it), listOf(listOf(0, 20), listOf(20, 40)))
            },
        )
        expectThat(lines.last()).isEqualTo(PipelineLine("r1", 1, end = true, count = 5))
        expectThat(first.runs()).containsExactly(EngineRun("r1", 1, 0, 20, listOf(0, 1, 2, 3, 4)))
        expectThat(second.runs()).containsExactly(EngineRun("r1", 1, 20, 40, listOf(0, 1, 2, 3, 4)))
    }

    private fun tokens(lines: List<PipelineLine>) = lines.mapNotNull { it.token }

    private fun expected(positions: IntRange) = positions.map { expectedToken("demo", "hello", it) }

    private fun refusal(reply: TestReply): String {
        expectThat(reply.status).isEqualTo(503)
        return wireJson.decodeFromString<Refusal>(reply.body).reason
    }

    @Test
    fun `a resumption on other stages gives the rest of the same answer`() {
        val lines = run(request(from = 3)).parsed()

        expectThat(tokens(lines)).isEqualTo(expected(3..4))
        expectThat(lines.last().count).isEqualTo(5)
    }

    @Test
    fun `nothing runs when a stage refuses, whichever it is`() {
        second.inject(EngineFault.Draining)
        expectThat(refusal(run(request()))).isEqualTo("draining")
        second.inject(EngineFault.Healthy)
        first.inject(EngineFault.Busy)
        expectThat(refusal(run(request()))).isEqualTo("busy")
        first.inject(EngineFault.Healthy)
        val gap = listOf(chain[0], chain[1].copy(first = 21))
        expectThat(refusal(run(request().copy(stages = gap)))).isEqualTo("bad_chain")
        expectThat(refusal(run(request(from = 1).copy(prefix = listOf("wrong"))))).isEqualTo("bad_chain")

        expectThat(first.runs() + second.runs()).isEmpty()
    }

    @Test
    fun `a session is held after a lost stage, reused, exported to another engine, and cancelled`() {
        second.inject(EngineFault.Truncate(afterLines = 2, streams = 1))
        val broken = run(request()).parsed()
        expectThat(tokens(broken)).isEqualTo(expected(0..1))
        expectThat(broken.last()).isEqualTo(PipelineLine("r1", 1, error = "stage_lost", endpoint = "e2"))

        val reuse = chain.map { it.copy(cache = CacheUse.REUSE) }
        expectThat(refusal(run(request(from = 3).copy(stages = reuse)))).isEqualTo("bad_chain")
        EngineFake.start(EngineSettings("e3", "demo", 20, 40)).use { third ->
            val import = PipelineStage("e3", third.address, 20, 40, CacheUse.IMPORT, importFrom = second.address)
            val resumed = run(request(from = 2).copy(attempt = 2, stages = listOf(reuse[0], import))).parsed()
            expectThat(tokens(resumed)).isEqualTo(expected(2..4))
        }

        expectThat(TestClient(second.address).call("POST", "/v1/sessions/r1/cancel").status).isEqualTo(200)
        expectThat(TestClient(second.address).call("GET", "/v1/sessions/r1").status).isEqualTo(404)
    }

    @Test
    fun `a stage that cannot be reached or crashes is named in the error line`() {
        second.inject(EngineFault.CrashOnPrompt("hell"))
        repeat(2) {
            expectThat(run(request()).parsed())
                .containsExactly(PipelineLine("r1", 1, error = "stage_lost", endpoint = "e2"))
        }
    }

    @Test
    fun `line faults duplicate, reorder and cross lines`() {
        second.inject(EngineFault.Duplicate(every = 2))
        expectThat(run(request()).parsed().mapNotNull { it.position }).containsExactly(0, 1, 1, 2, 3, 3, 4)
        second.inject(EngineFault.Healthy)
        second.inject(EngineFault.Reorder(every = 2))
        expectThat(run(request()).parsed().mapNotNull { it.position }).containsExactly(0, 2, 1, 4, 3)
        second.inject(EngineFault.Healthy)
        second.inject(EngineFault.ForeignLines(every = 1, replace = true))
        expectThat(run(request()).parsed().map { it.request }.distinct()).containsExactly("other-r1")
    }

    @Test
    fun `a frozen stream keeps its connection and sends nothing while new ones work`() {
        val slow = EngineSettings("e4", "demo", 0, 40, tokenDelay = 50.milliseconds)
        EngineFake.start(slow).use { engine ->
            val body = wireJson.encodeToString(request().copy(stages = listOf(PipelineStage("e4", "", 0, 40))))

            expectThrows<IOException> {
                TestClient(engine.address, 1.seconds).call("POST", "/v1/pipeline", body) {
                    engine.inject(EngineFault.Freeze(openStreamsOnly = true))
                }
            }.get { message.orEmpty() }.contains("no whole answer")

            expectThat(tokens(TestClient(engine.address).call("POST", "/v1/pipeline", body).parsed())).isEqualTo(
                expected(0..4),
            )
        }
    }

    @Test
    fun `an engine that checks refuses an old fencing token and one that does not takes it`() {
        val unfenced = EngineFake.start(EngineSettings("e5", "demo", 0, 20, checksFence = false))
        val newer = """{"order":"o2","fence":9,"expiresInMs":1000,"action":"load","model":"demo","first":5,"end":15}"""
        val older = """{"order":"o1","fence":8,"expiresInMs":1000,"action":"unload"}"""
        val statuses =
            listOf(first, unfenced).map { engine ->
                listOf(newer, older).map { TestClient(engine.address).call("POST", "/v1/orders", it).status }
            }

        expectThat(statuses).containsExactly(listOf(200, 409), listOf(200, 200))
        expectThat(first.state.run { listOf(first, end) }).containsExactly(5, 15)
        expectThat(unfenced.state.model).isNull()
        unfenced.close()
    }

    @Test
    fun `an order that waits longer than it is valid is not applied`() {
        first.inject(EngineFault.SlowOrders(50))
        val order = """{"order":"o1","fence":1,"expiresInMs":50,"action":"unload"}"""

        val reply = TestClient(first.address).call("POST", "/v1/orders", order)

        expectThat(reply.status).isEqualTo(409)
        expectThat(reply.body).isEqualTo("""{"reason":"expired"}""")
        expectThat(first.state.model).isEqualTo("demo")
    }

    @Test
    fun `a slow link delays the lines, keeps their order and shows in the load report`() {
        first.inject(EngineFault.SlowLink(100))

        val start = TimeSource.Monotonic.markNow()
        val lines = run(request()).parsed()

        expectThat(start.elapsedNow()).isGreaterThanOrEqualTo(100.milliseconds)
        expectThat(tokens(lines)).isEqualTo(expected(0..4))
        expectThat(load(first).linkMillis).isEqualTo(mapOf("e2" to 100.5))
    }

    @Test
    fun `a load report can be old`() {
        EngineFake.start(EngineSettings("e6", "demo", 0, 40, loadLag = 1.hours)).use { engine ->
            expectThat(load(engine).state).isEqualTo("serving")
            engine.inject(EngineFault.Draining)
            expectThat(load(engine).state).isEqualTo("serving")
        }
    }

    private fun load(engine: EngineFake): EngineLoad =
        wireJson.decodeFromString(TestClient(engine.address).call("GET", "/v1/load").body)
}
