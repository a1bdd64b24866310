package oriolespindle.router.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import oriolespindle.core.http.AnswerFault
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.outcome.RetryReason
import oriolespindle.core.outcome.UnknownReason
import java.util.concurrent.ConcurrentHashMap

/**
 * The meters of one instance.
 *
 * The counters of all refusal, unknown and retry reasons are registered at the start, so that a rate can be computed
 * from the first event on.
 */
internal class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val refusals = RefusalReason.entries.associateWith { counter("oriolespindle.refusals", "reason", it.code) }
    private val unknowns = UnknownReason.entries.associateWith { counter("oriolespindle.unknown", "reason", it.code) }
    private val retries = RetryReason.entries.associateWith { counter("oriolespindle.retries", "reason", it.code) }
    private val answerFaults =
        AnswerFault.entries.associateWith {
            counter("oriolespindle.answer.faults", "fault", it.code)
        }
    private val platformCalls = ConcurrentHashMap<String, Counter>()
    private val ignoredLines = ConcurrentHashMap<String, Counter>()
    private val done = registry.counter("oriolespindle.done")
    private val tokens = registry.counter("oriolespindle.tokens")
    private val malformedObjects = registry.counter("oriolespindle.malformed.objects")

    val firstToken: Timer = timer("oriolespindle.first.token")
    val tokenGap: Timer = timer("oriolespindle.token.gap")
    val recovery: Timer = timer("oriolespindle.recovery")
    val serviceCall: Timer = timer("oriolespindle.service.call")

    fun refused(reason: RefusalReason) = refusals.getValue(reason).increment()

    fun unknown(reason: UnknownReason) = unknowns.getValue(reason).increment()

    fun retried(reason: RetryReason) = retries.getValue(reason).increment()

    /** Counts an answer of an endpoint or the platform that could not be used because of [fault]. */
    fun answerFault(fault: AnswerFault) = answerFaults.getValue(fault).increment()

    fun done() = done.increment()

    fun tokensDelivered(count: Int) = tokens.increment(count.toDouble())

    fun malformedObject() = malformedObjects.increment()

    fun platformCall(operation: String) =
        platformCalls
            .computeIfAbsent(
                operation,
            ) { counter("oriolespindle.platform.calls", "operation", it) }
            .increment()

    /** Counts an engine's line that was not delivered to the caller; [reason] must come from a closed set of codes. */
    fun lineIgnored(reason: String) =
        ignoredLines.computeIfAbsent(reason) { counter("oriolespindle.lines.ignored", "reason", it) }.increment()

    /** Registers a gauge that reads [value] at each scrape. */
    fun gauge(
        name: String,
        value: () -> Number,
    ) {
        Gauge.builder(name) { value() }.register(registry)
    }

    /** Returns all meters in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun counter(
        name: String,
        label: String,
        value: String,
    ): Counter = Counter.builder(name).tag(label, value).register(registry)

    private fun timer(name: String): Timer =
        Timer.builder(name).publishPercentiles(MEDIAN, NINETY_FIFTH, NINETY_NINTH).register(registry)

    private companion object {
        const val MEDIAN = 0.5
        const val NINETY_FIFTH = 0.95
        const val NINETY_NINTH = 0.99
    }
}
