package oriolespindle.core.crash

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a harmful part that hides among hundreds of others, and against what these cost. */
class LongPromptTest {
    private val guard = HarmfulRequestGuard()
    private val shared = List(PARTS) { RequestTrait("part/s/%x".format(it)) }
    private val bad = RequestTrait("part/s/bad")
    private var moment = 0

    private fun now() = Timestamp.ZERO + 100.milliseconds * ++moment

    private fun sound(number: Int): Set<RequestTrait> = LinkedHashSet(shared + RequestTrait("content/$number"))

    private fun harmful(
        number: Int,
        position: Int,
    ): Set<RequestTrait> {
        val parts = shared.take(position) + bad + shared.drop(position)
        return LinkedHashSet(parts + RequestTrait("content/bad$number"))
    }

    private fun serve(
        number: Int,
        guard: HarmfulRequestGuard = this.guard,
    ) {
        guard.onAnswered(now(), sound(number))
        guard.onCompleted(now(), sound(number))
    }

    private fun crash(
        number: Int,
        requests: List<Set<RequestTrait>>,
        begun: List<Set<RequestTrait>> = emptyList(),
        guard: HarmfulRequestGuard = this.guard,
    ): CrashReport {
        val process = EndpointProcess(EndpointId("e$number"), 1)
        val report = CrashReport.of(process, guard.mostSuspect(requests), guard.mostSuspect(begun))
        guard.onCrash(now(), process, guard.mostSuspect(requests), guard.mostSuspect(begun))
        return report
    }

    @ParameterizedTest(name = "at {0}")
    @ValueSource(ints = [0, 33, PARTS / 2, PARTS])
    fun `a harmful part among hundreds that sound requests share was not singled out`(position: Int) {
        serve(0)
        repeat(3) { n -> crash(n, listOf(sound(n), harmful(n, position))) }

        expectThat(guard.rejections).isEqualTo(setOf(setOf(bad)))
        expectThat(guard.rejection(sound(9))).isNull()
        expectThat(guard.rejection(harmful(9, position))).isNotNull()
    }

    @Test
    fun `sound requests were rejected for parts that they share with harmful ones, since none had been answered yet`() {
        repeat(3) { n -> crash(n, listOf(harmful(n, position = 500))) }

        expectThat(guard.rejection(harmful(9, position = 500))).isNotNull()
        expectThat(guard.rejection(sound(9))).isNull()
        serve(9)
        expectThat(guard.rejections).isEqualTo(setOf(setOf(bad)))
    }

    @Test
    fun `a harmful part under which endpoints end late in their answers was not singled out`() {
        serve(0)
        repeat(5) { n ->
            guard.onAnswered(now(), harmful(n, position = 700))
            crash(n, emptyList(), begun = listOf(harmful(n, position = 700), sound(n + 10)))
            serve(n + 100)
        }
        expectThat(guard.rejections).isEqualTo(setOf(setOf(bad)))
    }

    @Test
    fun `another instance did not learn of a harmful part behind many others`() {
        val other = HarmfulRequestGuard()
        listOf(guard, other).forEach { serve(0, it) }
        repeat(3) { n ->
            val report = crash(n, List(10) { sound(100 * n + it) } + listOf(harmful(n, position = 900)))
            expectThat(report.unanswered.first()).contains(bad)
            expectThat(report.unanswered.sumOf { it.size }).isLessThanOrEqualTo(11 * MAX_TOLD)
            other.merge(now(), CrashNews(listOf(report), guard.known(report.unanswered.flatten())))
        }
        expectThat(other.rejections).isEqualTo(setOf(setOf(bad)))
    }

    @Test
    fun `a part that was answered before was not rejected after it became harmful`() {
        guard.onAnswered(now(), setOf(bad))
        guard.onCompleted(now(), setOf(bad))
        repeat(5) { n ->
            serve(n + 100)
            crash(n, listOf(harmful(n, position = 1_000)))
        }
        serve(200)
        expectThat(guard.rejection(harmful(9, position = 1_000))).isNotNull()
        expectThat(guard.rejection(sound(9))).isNull()
    }

    // Each had parts that no other request has, of which none had been answered.
    @Test
    fun `ends under long prompts used up the memory`() {
        repeat(100) { n ->
            val requests = List(10) { r -> List(PARTS) { RequestTrait("part/s/$n/$r/$it") }.toSet() }
            guard.onCrash(now(), EndpointProcess(EndpointId("e$n"), 1), requests)
        }
        val settings = HarmfulRequestSettings()
        val remembered = guard.recordedTraits()
        expectThat(remembered).isLessThanOrEqualTo(settings.maxRecordedTraits)
    }

    private companion object {
        /** About as many parts with ids of eight digits as a header of 16 KB holds. */
        const val PARTS = 1_300

        /** The completed parts, the harmful one and the content. */
        const val MAX_TOLD = 34
    }
}
