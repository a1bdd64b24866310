package oriolespindle.testkit.engine

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import oriolespindle.testkit.http.TestClient
import oriolespindle.testkit.http.TestReply
import oriolespindle.testkit.http.wireJson
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

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
}
