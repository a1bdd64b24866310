package oriolespindle.core.stream

import org.junit.jupiter.api.Test
import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.Stage
import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.util.SplittableRandom

class StreamAssemblerTest {
    private val now = Timestamp.ZERO
    private val request = RequestId("r1")
    private val first = AttemptNumber.FIRST
    private val chain =
        Chain(
            ModelId("m"),
            listOf(Stage(EndpointId("e1"), LayerRange(0, 20)), Stage(EndpointId("e2"), LayerRange(20, 40))),
        )
    private val wholeTrace = listOf(LayerSpan(0, 20), LayerSpan(20, 40))

    private fun started() = StreamAssembler(request).apply { startAttempt(now, first, chain, 0) }

    private fun token(
        position: Int,
        attempt: AttemptNumber = first,
        of: RequestId = request,
        layers: List<LayerSpan> = wholeTrace,
    ) = StreamEvent.Token(of, attempt, position, "t$position", layers)

    private fun StreamAssembler.take(event: StreamEvent) = handle(now, event)

    /** Guards against an answer that is reported as complete although its last lines were lost. */
    @Test
    fun `an answer is complete only when its count matches`() {
        val whole = started()
        whole.take(token(0))
        expectThat(whole.take(StreamEvent.End(request, first, 1))).isEqualTo(StreamResult.Complete(1))

        val cut = started()
        cut.take(token(0))
        expectThat(cut.take(StreamEvent.End(request, first, 2)))
            .isEqualTo(StreamResult.Fault(RetryReason.TRUNCATED_ANSWER, null))
    }

    /** Guards against an answer that is reported as complete because its connection closed normally. */
    @Test
    fun `a connection that closes before the last line truncates the answer`() {
        val assembler = started()
        assembler.take(token(0))

        expectThat(assembler.take(StreamEvent.Closed(request, first)))
            .isEqualTo(StreamResult.Fault(RetryReason.TRUNCATED_ANSWER, null))
        expectThat(assembler.take(token(1))).isEqualTo(StreamResult.Ignored(IgnoredReason.ENDED))
    }

    /** Guards against tokens of another request or of an abandoned attempt in this answer. */
    @Test
    fun `lines of other requests and earlier attempts are ignored`() {
        val assembler = started()
        assembler.take(token(0))
        assembler.startAttempt(now, first.next(), chain, resumeFrom = 1)

        expectThat(assembler.take(token(1, of = RequestId("r2"), attempt = first.next())))
            .isEqualTo(StreamResult.Ignored(IgnoredReason.OTHER_REQUEST))
        expectThat(assembler.take(token(1))).isEqualTo(StreamResult.Ignored(IgnoredReason.OTHER_ATTEMPT))
        expectThat(assembler.take(StreamEvent.Reset(request, first)))
            .isEqualTo(StreamResult.Ignored(IgnoredReason.OTHER_ATTEMPT))
        expectThat(assembler.take(token(1, first.next()))).isA<StreamResult.Deliver>()
    }

    /** Guards against tokens for which a layer was skipped, repeated, run out of order or does not exist. */
    @Test
    fun `a token whose layers did not run exactly once in order is a fault of the stage`() {
        val traces =
            mapOf(
                listOf(LayerSpan(0, 20)) to "e2",
                listOf(LayerSpan(20, 40)) to "e1",
                listOf(LayerSpan(20, 40), LayerSpan(0, 20)) to "e1",
                listOf(LayerSpan(0, 20), LayerSpan(19, 40)) to "e2",
                listOf(LayerSpan(0, 20), LayerSpan(20, 20), LayerSpan(20, 40)) to "e2",
                listOf(LayerSpan(0, 20), LayerSpan(20, 41)) to "e2",
                emptyList<LayerSpan>() to "e1",
            )
        for ((trace, blamed) in traces) {
            expectThat(started().take(token(0, layers = trace)))
                .isEqualTo(StreamResult.Fault(RetryReason.STAGE_LOST, EndpointId(blamed)))
        }
    }

    /** Guards against an attempt that leaves a gap or reactivates an older attempt. */
    @Test
    fun `an attempt is newer and starts at a delivered position`() {
        val assembler = started()

        expectThrows<IllegalArgumentException> { assembler.startAttempt(now, first.next(), chain, resumeFrom = 1) }
        expectThrows<IllegalArgumentException> { assembler.startAttempt(now, first, chain, resumeFrom = 0) }
    }

    /** Guards against duplicated, late, misdirected, reordered and truncated lines, in any mix, reaching the caller. */
    @Test
    fun `under random faults the caller receives a prefix of its own answer and completes only with all of it`() {
        var completed = 0
        for (seed in 1L..2_000L) {
            val random = SplittableRandom(seed)
            val assembler = StreamAssembler(request)
            val received = ArrayList<String>()
            var attempt = AttemptNumber(0)
            while (attempt.value < 10) {
                attempt = attempt.next()
                assembler.startAttempt(now, attempt, chain, assembler.delivered)
                val results = faultyLines(random, attempt, assembler.delivered).map { assembler.take(it) }
                results.filterIsInstance<StreamResult.Deliver>().flatMap { it.tokens }.forEach { received += it.text }
                expectThat(received).isEqualTo(received.indices.mapTo(ArrayList()) { "t$it" })
                if (results.any { it is StreamResult.Complete }) {
                    expectThat(received.size).isEqualTo(ANSWER)
                    completed++
                    break
                }
            }
        }
        expectThat(completed).isEqualTo(2_000)
    }

    private fun faultyLines(
        random: SplittableRandom,
        attempt: AttemptNumber,
        from: Int,
    ): List<StreamEvent> {
        val lines: MutableList<StreamEvent> = (from until ANSWER).mapTo(ArrayList()) { token(it, attempt) }
        lines += StreamEvent.End(request, attempt, ANSWER)
        if (attempt.value == 10) return lines
        repeat(random.nextInt(4)) {
            val at = random.nextInt(lines.size)
            when (random.nextInt(6)) {
                0 -> lines.add(at, lines[random.nextInt(lines.size)])
                1 -> lines.add(at, token(at, AttemptNumber(attempt.value - 1)))
                2 -> lines.add(at, token(at, attempt, RequestId("r2")))
                3 -> lines.add(at, lines.removeAt(random.nextInt(lines.size)))
                4 -> lines.removeAt(random.nextInt(lines.size)).also { lines += it }
                else -> lines.subList(at, lines.size).clear().also { lines += StreamEvent.Closed(request, attempt) }
            }
        }
        return lines
    }

    private companion object {
        const val ANSWER = 12
    }
}
