package oriolespindle.router.relay

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.toJavaDuration

/** The meters of a [Relay]; labels come from closed sets. */
public class RelayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val counters = HashMap<Triple<String, String, String>, Counter>()
    private val firstEvent = timer("oriolespindle.relay.first.event")
    private val answer = timer("oriolespindle.relay.answer")

    /** A request ended as [outcome]: done, refused, failed, cut or left. */
    public fun onRequestEnded(
        outcome: String,
        duration: Duration,
    ) {
        count("oriolespindle.relay.requests", "outcome", outcome)
        answer.record(duration.toJavaDuration())
    }

    /** The first event or the whole answer of a request left for the caller. */
    public fun onAnswerBegun(after: Duration): Unit = firstEvent.record(after.toJavaDuration())

    /** A request was refused as not run because of [reason]. */
    public fun onRefused(reason: String): Unit = count("oriolespindle.relay.refusals", "reason", reason)

    /** A request was sent again because of [reason]. */
    public fun onRetry(reason: String): Unit = count("oriolespindle.relay.retries", "reason", reason)

    /** The store was called with [operation], which ended as [result]. */
    public fun onStoreCall(
        operation: String,
        result: String,
    ): Unit = count("oriolespindle.relay.store.calls", "call", "$operation/$result")

    /** An engine was ordered to load layers, which ended as [result]. */
    public fun onOrderEnded(result: String): Unit = count("oriolespindle.relay.orders", "result", result)

    /** Adds a gauge that reads [value] when metrics are collected. */
    public fun gauge(
        name: String,
        value: () -> Number,
    ) {
        Gauge.builder(name) { value() }.register(registry)
    }

    /** Adds a gauge of how old something is, in seconds; NaN while [age] is null. */
    public fun ageGauge(
        name: String,
        age: () -> Duration?,
    ) {
        Gauge
            .builder(
                name,
            ) { age()?.toDouble(DurationUnit.SECONDS) ?: Double.NaN }
            .baseUnit("seconds")
            .register(registry)
    }

    /** Returns all meters in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    private fun count(
        name: String,
        label: String,
        value: String,
    ) {
        val key = Triple(name, label, value)
        counters.getOrPut(key) { Counter.builder(name).tag(label, value).register(registry) }.increment()
    }

    private fun timer(name: String): Timer = Timer.builder(name).publishPercentiles(MEDIAN, TAIL).register(registry)

    private companion object {
        const val MEDIAN = 0.5
        const val TAIL = 0.95
    }
}
