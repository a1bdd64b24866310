package oriolespindle.bench.load

import org.HdrHistogram.Histogram
import org.HdrHistogram.Recorder
import java.util.Locale
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration

/** Collects the measurements of a run; latencies are in microseconds from the intended start of each request. */
internal class LoadResult {
    val complete = LongAdder()
    val refused = LongAdder()
    val failed = LongAdder()
    val skipped = LongAdder()
    val tokens = LongAdder()
    private val firstTokenRecorder = Recorder(SIGNIFICANT_DIGITS)
    private val completionRecorder = Recorder(SIGNIFICANT_DIGITS)
    private val gapRecorder = Recorder(SIGNIFICANT_DIGITS)

    fun recordFirstToken(latency: Duration) = firstTokenRecorder.recordValue(latency.inWholeMicroseconds)

    fun recordCompletion(latency: Duration) = completionRecorder.recordValue(latency.inWholeMicroseconds)

    fun recordGap(gap: Duration) = gapRecorder.recordValue(gap.inWholeMicroseconds)

    /** Returns the summary of the whole run; must be called only once, at the end. */
    fun summary(elapsed: Duration): LoadSummary =
        LoadSummary(
            elapsed = elapsed,
            complete = complete.sum(),
            refused = refused.sum(),
            failed = failed.sum(),
            skipped = skipped.sum(),
            tokens = tokens.sum(),
            firstToken = firstTokenRecorder.intervalHistogram,
            completion = completionRecorder.intervalHistogram,
            gap = gapRecorder.intervalHistogram,
        )

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
    }
}

/** The summary of a run. */
internal class LoadSummary(
    val elapsed: Duration,
    val complete: Long,
    val refused: Long,
    val failed: Long,
    val skipped: Long,
    val tokens: Long,
    val firstToken: Histogram,
    val completion: Histogram,
    val gap: Histogram,
) {
    /** Formats the summary as a table. */
    fun table(): String {
        val seconds = elapsed.inWholeMilliseconds / 1_000.0
        val counts =
            "whole $complete, refused $refused, failed $failed, not sent $skipped in ${format(seconds)} s: " +
                "${format(complete / seconds)} requests/s, ${format(tokens / seconds)} tokens/s"
        val rows = listOf("first token" to firstToken, "between tokens" to gap, "whole answer" to completion)
        val lines = rows.map { (name, histogram) -> row(name, histogram) }
        return (listOf(counts, HEADER) + lines).joinToString("\n")
    }

    private fun row(
        name: String,
        histogram: Histogram,
    ): String {
        val values = PERCENTILES.map { histogram.getValueAtPercentile(it) / 1_000.0 } + histogram.maxValue / 1_000.0
        return name.padEnd(NAME_WIDTH) + values.joinToString("") { format(it).padStart(COLUMN_WIDTH) }
    }

    private fun format(value: Double): String = String.format(Locale.ROOT, "%.2f", value)

    private companion object {
        const val NAME_WIDTH = 16
        const val COLUMN_WIDTH = 11
        const val HEADER = "milliseconds            p50        p95        p99        max"
        val PERCENTILES = listOf(50.0, 95.0, 99.0)
    }
}
