package oriolespindle.router.relay

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import oriolespindle.core.admission.Priority
import oriolespindle.core.http.AnswerFault
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.toJavaDuration

/** The metrics of a [Relay]; every label has a fixed set of values. */
public class RelayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val counters = HashMap<Triple<String, String, String>, Counter>()
    private val firstEvent = timer("oriolespindle.relay.first.event")
    private val answer = timer("oriolespindle.relay.answer")
    private val failoverGap = timer("oriolespindle.relay.failover.gap")
    private val storeIntervals = HashMap<String, Timer>()
    private val waited = HashMap<Int, Timer>()

    /** Counts a request that ended with [outcome], which is one of `done`, `refused`, `failed`, `cut` and `left`. */
    public fun onRequestEnded(
        outcome: String,
        duration: Duration,
    ) {
        count("oriolespindle.relay.requests", "outcome", outcome)
        answer.record(duration.toJavaDuration())
    }

    /** Records the time until the first event, or the complete answer, of a request was sent to the caller. */
    public fun onAnswerBegun(after: Duration): Unit = firstEvent.record(after.toJavaDuration())

    /** Counts a request that did not run because of [reason], and by its [priority] if it has one. */
    public fun onRefused(
        reason: String,
        priority: Priority? = null,
    ) {
        count("oriolespindle.relay.refusals", "reason", reason)
        if (priority != null) count("oriolespindle.relay.priority.refusals", PRIORITY, label(priority).toString())
    }

    /** Records that a request of [priority] has waited [duration] for a free slot, whether it was served or not. */
    public fun onWaited(
        priority: Priority,
        duration: Duration,
    ) {
        val level = label(priority)
        val timer = waited.getOrPut(level) { timer("oriolespindle.relay.waited", PRIORITY, level.toString()) }
        timer.record(duration.toJavaDuration())
    }

    private fun label(priority: Priority): Int = minOf(priority.level, MAX_PRIORITY)

    /** Counts a retry caused by [reason]. */
    public fun onRetry(reason: String): Unit = count("oriolespindle.relay.retries", "reason", reason)

    /** Counts an answer of an endpoint or the store that could not be used because of [fault]. */
    public fun onAnswerFault(fault: AnswerFault): Unit = count("oriolespindle.relay.answer.faults", "fault", fault.code)

    /** Counts a call of [operation] on the store that ended with [result]. */
    public fun onStoreCall(
        operation: String,
        result: String,
    ): Unit = count("oriolespindle.relay.store.calls", "call", "$operation/$result")

    /** Records the [interval] between two successful answers of the store about the objects of [kind]. */
    public fun onStoreAnswer(
        kind: String,
        interval: Duration,
    ) {
        val timer = storeIntervals.getOrPut(kind) { timer("oriolespindle.relay.store.answer.interval", "kind", kind) }
        timer.record(interval.toJavaDuration())
    }

    /** Counts an endpoint that was found to have ended while requests were at it. */
    public fun onEndpointEnded(): Unit = registry.counter("oriolespindle.relay.endpoints.ended").increment()

    /** Counts an attempt that was sent over a path with endpoints of another zone. */
    public fun onSentToOtherZone(): Unit = registry.counter("oriolespindle.relay.other.zone.attempts").increment()

    /** Counts an endpoint whose process was found ended by a probe that was made because of [cause]. */
    public fun onEndFound(cause: String): Unit = count("oriolespindle.relay.failover.ended", "cause", cause)

    /** Counts an endpoint that did not answer to a probe that was made because of [cause]. */
    public fun onSilenceFound(cause: String): Unit = count("oriolespindle.relay.failover.silent", "cause", cause)

    /** Counts [streams] that were moved from an endpoint about which probes had made [finding]. */
    public fun onStreamsMoved(
        finding: String,
        streams: Int,
    ): Unit = repeat(streams) { count("oriolespindle.relay.failover.moved", "finding", finding) }

    /** Records the time from the last event of a moved stream to the first event of its next run. */
    public fun onMovedStreamGoesOn(after: Duration): Unit = failoverGap.record(after.toJavaDuration())

    /** Counts an order to load layers that ended with [result]. */
    public fun onOrderEnded(result: String): Unit = count("oriolespindle.relay.orders", "result", result)

    /** Registers a gauge that reads [value] when metrics are scraped. */
    public fun gauge(
        name: String,
        value: () -> Number,
    ) {
        Gauge.builder(name) { value() }.register(registry)
    }

    /** Registers a gauge of [age] in seconds, which is NaN while [age] is null. */
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

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    private fun count(
        name: String,
        label: String,
        value: String,
    ) {
        val key = Triple(name, label, value)
        counters.getOrPut(key) { Counter.builder(name).tag(label, value).register(registry) }.increment()
    }

    private fun timer(
        name: String,
        vararg tags: String,
    ): Timer =
        Timer
            .builder(name)
            .tags(*tags)
            .publishPercentiles(MEDIAN, TAIL)
            .register(registry)

    private companion object {
        const val PRIORITY = "priority"

        /** Less urgent priorities share its label, so that the label has ten values. */
        const val MAX_PRIORITY = 9
        const val MEDIAN = 0.5
        const val TAIL = 0.95
    }
}
