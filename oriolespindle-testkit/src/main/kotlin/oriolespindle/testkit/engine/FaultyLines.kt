package oriolespindle.testkit.engine

import oriolespindle.testkit.http.LineStream
import oriolespindle.testkit.http.wireJson

/** Sends the lines of one answer, changed by the line faults that are in force when each is sent. */
internal class FaultyLines(
    private val stream: LineStream,
    private val model: String,
    private val faults: () -> FaultState,
) {
    private var sent = 0
    private var held: PipelineLine? = null

    val isWritable: Boolean get() = stream.isWritable

    /** Sends [line]; returns false when a fault cut the stream in its place. */
    fun send(line: PipelineLine): Boolean {
        val now = faults()
        if (now.truncatesAfter(sent)) {
            stream.drop()
            return false
        }
        sent++
        withForeign(line, now.foreign).forEach { write(it, now) }
        return true
    }

    /** Sends what a fault holds back and ends the answer. */
    fun end() {
        held?.let(::encode)
        stream.end()
    }

    private fun withForeign(
        line: PipelineLine,
        fault: EngineFault.ForeignLines?,
    ): List<PipelineLine> {
        if (!isDue(fault?.every)) return listOf(line)
        val foreign = foreignTo(line)
        return if (fault?.replace == true) listOf(foreign) else listOf(foreign, line)
    }

    private fun foreignTo(line: PipelineLine): PipelineLine {
        val token = line.position?.let { expectedToken(model, "the prompt of another request", it) }
        return line.copy(request = "other-${line.request}", token = token)
    }

    private fun write(
        line: PipelineLine,
        now: FaultState,
    ) {
        val earlier = held
        if (earlier == null && isDue(now.reorderEvery)) {
            held = line
            return
        }
        encode(line)
        if (isDue(now.duplicateEvery)) encode(line)
        if (earlier != null) {
            held = null
            encode(earlier)
        }
    }

    private fun isDue(every: Int?) = every != null && sent % every == 0

    private fun encode(line: PipelineLine) = stream.line(wireJson.encodeToString(line))
}
