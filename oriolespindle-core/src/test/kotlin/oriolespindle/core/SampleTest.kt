package oriolespindle.core

import org.junit.jupiter.api.Test
import oriolespindle.core.chain.ChainChoice
import oriolespindle.core.chain.ChainPlanner
import oriolespindle.core.chain.ChainSelector
import oriolespindle.core.chain.ChainSelectorSettings
import oriolespindle.core.chain.EndpointSpec
import oriolespindle.core.chain.LinkRate
import oriolespindle.core.chain.ModelSpec
import oriolespindle.core.chain.PrefixHash
import oriolespindle.core.chain.RouteQuery
import oriolespindle.core.chain.Topology
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.stream.LayerSpan
import oriolespindle.core.stream.StreamAssembler
import oriolespindle.core.stream.StreamEvent
import oriolespindle.core.stream.StreamResult
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds

/** Runs the sample of docs/core.md, which shows how a program outside this repository uses the core. */
class SampleTest {
    @Test
    fun `the sample runs and matches the one on the page`() {
        // sample
        val model = ModelSpec(ModelId("demo"), layers = 40)
        val engines =
            listOf("e1" to LayerRange(0, 20), "e2" to LayerRange(20, 40)).map { (name, layers) ->
                EndpointSpec(EndpointId(name), "127.0.0.1:9000", ZoneId("z1"), model.id, layers, 1_000.0, "a")
            }
        val link = LinkRate(tokensPerSecond = 100_000.0, latency = 0.milliseconds)
        val plan = ChainPlanner().plan(Topology(model, engines, links = emptyList(), defaultLink = { _, _ -> link }))

        var now = Timestamp.ZERO
        val selector = ChainSelector(InstanceId("r1"), ChainSelectorSettings(), SplittableRandom(1))
        selector.setPlan(now, plan)
        val request = RequestId("r1-1")
        val query =
            RouteQuery(request, model.id, PrefixHash.NONE, promptTokens = 8, maxTokens = 1, priority = 0, ZoneId("z1"))
        val chain = (selector.choose(now, query) as ChainChoice.Chosen).chain
        selector.onStarted(now, request, chain, tokens = 1)

        val assembler = StreamAssembler(request)
        assembler.startAttempt(now, AttemptNumber.FIRST, chain, resumeFrom = 0)
        now += 35.milliseconds
        val trace = listOf(LayerSpan(0, 20), LayerSpan(20, 40))
        val token = assembler.handle(now, StreamEvent.Token(request, AttemptNumber.FIRST, 0, "hello", trace))
        val end = assembler.handle(now, StreamEvent.End(request, AttemptNumber.FIRST, count = 1))
        selector.onFinished(now, request)
        // end of sample

        expectThat((token as StreamResult.Deliver).tokens.single().text).isEqualTo("hello")
        expectThat(end).isEqualTo(StreamResult.Complete(1))
        expectThat(Files.readString(Path.of("../docs/core.md"))).contains(sample())
    }

    private fun sample(): String =
        Files
            .readAllLines(Path.of("src/test/kotlin/oriolespindle/core/SampleTest.kt"))
            .dropWhile { it.trim() != "// sample" }
            .drop(1)
            .takeWhile { it.trim() != "// end of sample" }
            .joinToString("\n") { it.removePrefix("        ") }
}
