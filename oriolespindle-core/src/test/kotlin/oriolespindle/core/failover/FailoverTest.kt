package oriolespindle.core.failover

import org.junit.jupiter.api.Test
import oriolespindle.core.crash.EndpointProcess
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class FailoverTest {
    private val probes = EndpointProbes()
    private val ended = EndedEndpoints()
    private val silence = SilenceLimit()
    private val policy = MovePolicy()
    private val process = EndpointProcess(EndpointId("e"), startedAt = 1)

    private fun at(millis: Int): Timestamp = Timestamp.ZERO + (1_000 + millis).milliseconds

    /** Guards against storms of probes when many streams stop at once. */
    @Test
    fun `a process is probed at most once in 200 ms, and not while a probe is in progress`() {
        probes.onStarted(at(0), process)
        expectThat(probes.isDue(at(250), process, ProbeCause.BREAK)).isFalse()
        probes.onAnswer(process, ProbeAnswer.OPEN)
        expectThat(probes.isDue(at(199), process, ProbeCause.BREAK)).isFalse()
        expectThat(probes.isDue(at(200), process, ProbeCause.BREAK)).isTrue()
        expectThat(probes.isDue(at(1), process.copy(startedAt = 2), ProbeCause.BREAK)).isTrue()
    }

    /** Guards against a flood of connections while engines are slow, and against an end that then goes unnoticed. */
    @Test
    fun `silent streams cause 40 probes at once and 20 a second, and no limit for other causes`() {
        val due = { millis: Int, cause: ProbeCause ->
            (1..100).count { probes.isDue(at(millis), EndpointProcess(EndpointId("s$it"), startedAt = 1), cause) }
        }
        expectThat(due(0, ProbeCause.SILENCE)).isEqualTo(40)
        expectThat(due(1_000, ProbeCause.SILENCE)).isEqualTo(20)
        expectThat(due(1_000, ProbeCause.REFUSAL)).isEqualTo(100)
    }

    /** Guards against an end that rests on a single refused connection or on a fault of this instance. */
    @Test
    fun `only a second refusal in a row is an end`() {
        val verdicts = { answers: List<ProbeAnswer> ->
            probes.onStarted(at(0), process)
            answers.map { probes.onAnswer(process, it) }.last()
        }
        expectThat(verdicts(listOf(ProbeAnswer.CLOSED))).isEqualTo(ProbeVerdict.ASK_AGAIN)
        expectThat(verdicts(listOf(ProbeAnswer.CLOSED, ProbeAnswer.CLOSED))).isEqualTo(ProbeVerdict.ENDED)
        expectThat(verdicts(listOf(ProbeAnswer.CLOSED, ProbeAnswer.OPEN))).isEqualTo(ProbeVerdict.LISTENS)
        expectThat(verdicts(listOf(ProbeAnswer.CLOSED, ProbeAnswer.NO_ANSWER))).isEqualTo(ProbeVerdict.SILENT)
        expectThat(verdicts(listOf(ProbeAnswer.FAILED))).isEqualTo(ProbeVerdict.UNKNOWN)
    }

    /** Guards against hints that answer hints, and against a hint for each repeated finding. */
    @Test
    fun `an end is told once, and not after a hint about it`() {
        expectThat(ended.onEnded(at(0), process, ProbeCause.SILENCE)).isEqualTo(EndReport(true, tellPeers = true))
        expectThat(ended.onEnded(at(9), process, ProbeCause.CHECK)).isEqualTo(EndReport(false, tellPeers = false))
        val other = process.copy(startedAt = 2)
        expectThat(ended.onHint(at(20), other)).isTrue()
        expectThat(ended.onEnded(at(30), other, ProbeCause.BREAK)).isEqualTo(EndReport(true, tellPeers = false))
        expectThat(ended.onHint(at(40), other)).isFalse()
    }

    private fun runWithEventsEvery(millis: Int) {
        silence.onWaitStarted(at(0))
        repeat(EVENTS) { silence.onEvents(at(FIRST_EVENT + it * millis)) }
    }

    /** Guards against probes of engines that are slow but at their usual pace. */
    @Test
    fun `the limit follows the interval of events within its bounds`() {
        val limits = listOf(10, 35, 70, 500).map { runWithEventsEvery(it).let { silence.limit.inWholeMilliseconds } }
        expectThat(limits[0]).isEqualTo(80)
        expectThat(limits[1] in 80..90).isTrue()
        expectThat(limits[2] in 130..150).isTrue()
        expectThat(limits[3]).isEqualTo(350)
    }

    @Test
    fun `a prefill and a caller that does not read do not count as intervals, and a silent path is probed again`() {
        runWithEventsEvery(30)
        silence.onWaitStarted(at(5_000))
        silence.onEvents(at(7_000))
        expectThat(silence.limit).isEqualTo(80.milliseconds)
        expectThat(silence.remaining(at(7_030))).isEqualTo(50.milliseconds)
        silence.onProbed(at(7_080))
        expectThat(silence.remaining(at(7_100))).isEqualTo(180.milliseconds)
    }

    private data class Stream(
        override val isRead: Boolean = true,
        override val silence: Duration = 150.milliseconds,
        override val isAnswered: Boolean = true,
        override val isSuspected: Boolean = false,
        override val mayRunAgain: Boolean = true,
        override val hasOtherPath: Boolean = true,
    ) : StreamState

    /** Guards against repeats that the rules for attempts forbid, and against leaving a sound endpoint. */
    @Test
    fun `a stream is moved only if it may run again, has another path and its caller reads`() {
        for (finding in Finding.entries) {
            expectThat(policy.mayMove(finding, Stream())).isTrue()
            expectThat(policy.mayMove(finding, Stream(isRead = false))).isFalse()
            expectThat(policy.mayMove(finding, Stream(mayRunAgain = false))).isFalse()
            expectThat(policy.mayMove(finding, Stream(hasOtherPath = false))).isFalse()
        }
        val unclear = listOf(Stream(silence = 50.milliseconds), Stream(isAnswered = false), Stream(isSuspected = true))
        expectThat(unclear.map { policy.mayMove(Finding.SILENT, it) }).isEqualTo(List(3) { false })
        expectThat(unclear.map { policy.mayMove(Finding.ENDED, it) }).isEqualTo(List(3) { true })
    }

    private companion object {
        const val EVENTS = 40
        const val FIRST_EVENT = 120
    }
}
