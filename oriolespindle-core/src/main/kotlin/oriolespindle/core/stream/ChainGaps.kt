package oriolespindle.core.stream

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of a [GapDetector]. */
public data class GapSettings(
    /** The limit for the gap between two tokens until [minSamples] gaps have been measured. */
    val initialLimit: Duration = 500.milliseconds,
    /** The limit for the first token of an attempt until [minSamples] first tokens have been measured. */
    val initialFirstTokenLimit: Duration = 3.seconds,
    /** The number of measured gaps after which the limit is first derived from them, and then updated. */
    val minSamples: Int = 64,
    /** The percentile of the measured gaps from which the limit is derived. */
    val percentile: Double = 99.9,
    /** The limit as a multiple of that percentile, which the gaps of a busy engine exceed regularly. */
    val limitFactor: Double = 2.0,
    /** The lower bound of the limit; shorter gaps are common in process scheduling. */
    val minLimit: Duration = 20.milliseconds,
    /** The number of gaps in a window; the limit follows from the current window and the previous one. */
    val windowSize: Int = 4_096,
    /** The delay of a check above which this process, rather than the chain, is considered to have paused. */
    val minOwnPause: Duration = 100.milliseconds,
) {
    init {
        require(minSamples > 0) { "minSamples is $minSamples, must be positive" }
        require(percentile in 0.0..100.0) { "percentile is $percentile, must be between 0 and 100" }
        require(limitFactor >= 1) { "limitFactor is $limitFactor, must be at least 1" }
    }
}

/** The gaps measured on one chain; shared by the [GapDetector]s of its streams. */
public class ChainGaps(
    settings: GapSettings,
) {
    internal val firstToken = GapWindow(settings, settings.initialFirstTokenLimit)
    internal val betweenTokens = GapWindow(settings, settings.initialLimit)
}

/** A sliding window of measured gaps of one kind. */
internal class GapWindow(
    private val settings: GapSettings,
    private val initialLimit: Duration,
) {
    private var current = Histogram(SIGNIFICANT_DIGITS)
    private var previous = Histogram(SIGNIFICANT_DIGITS)
    private var currentLimit = initialLimit
    private var nextUpdate = settings.minSamples.toLong()

    /** The longest gap that is considered normal. */
    val limit: Duration get() = currentLimit

    fun record(gap: Duration) {
        current.recordValue(gap.inWholeMicroseconds.coerceAtLeast(0))
        if (current.totalCount >= settings.windowSize) {
            previous = current
            current = Histogram(SIGNIFICANT_DIGITS)
            nextUpdate = settings.minSamples.toLong()
        }
        if (current.totalCount < nextUpdate) return
        nextUpdate += settings.minSamples
        currentLimit = measuredLimit()
    }

    private fun measuredLimit(): Duration {
        val percentile =
            maxOf(
                current.getValueAtPercentile(settings.percentile),
                previous.getValueAtPercentile(settings.percentile),
            )
        return (percentile.microseconds * settings.limitFactor).coerceAtLeast(settings.minLimit)
    }

    private companion object {
        const val SIGNIFICANT_DIGITS = 2
    }
}
