package oriolespindle.core.stream

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of a [GapDetector]. */
public data class GapSettings(
    /** The limit for the gap between two tokens until enough gaps were measured. */
    val initialLimit: Duration = 500.milliseconds,
    /** The limit for the first token of an attempt until enough first tokens were measured. */
    val initialFirstTokenLimit: Duration = 3.seconds,
    /** How many gaps are enough to replace the prior. */
    val minSamples: Int = 64,
    /** The percentile of measured gaps from which the limit is derived. */
    val percentile: Double = 99.9,
    /** The limit in multiples of that percentile; gaps of a busy engine exceed the percentile regularly. */
    val limitFactor: Double = 2.0,
    /** The least limit; shorter gaps are common in process scheduling. */
    val minLimit: Duration = 20.milliseconds,
    /** Measured gaps older than one to two windows of this many are forgotten. */
    val windowSize: Int = 4_096,
    /** A check that runs this much too late shows that this process was paused, not that the chain is silent. */
    val minOwnPause: Duration = 100.milliseconds,
) {
    init {
        require(minSamples > 0) { "minimumSamples is $minSamples, must be positive" }
        require(percentile in 0.0..100.0) { "percentile is $percentile, must be between 0 and 100" }
        require(limitFactor >= 1) { "factor is $limitFactor, must be at least 1" }
    }
}

/** The gaps measured on one chain, shared by the [GapDetector]s of its streams. */
public class ChainGaps(
    settings: GapSettings,
) {
    internal val firstToken = GapWindow(settings, settings.initialFirstTokenLimit)
    internal val betweenTokens = GapWindow(settings, settings.initialLimit)
}

/** Measured gaps of one kind in a sliding window. */
internal class GapWindow(
    private val settings: GapSettings,
    private val initialLimit: Duration,
) {
    private var current = Histogram(SIGNIFICANT_DIGITS)
    private var previous = Histogram(SIGNIFICANT_DIGITS)
    private var currentLimit = initialLimit
    private var nextUpdate = settings.minSamples.toLong()

    /** The longest gap that is not suspicious. */
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
