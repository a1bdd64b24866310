package oriolespindle.core.relay

import oriolespindle.core.id.ServiceId
import oriolespindle.core.lifecycle.AnswerDuration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Remembers how long recent answers took, by route.
 *
 * Where callers estimate the lengths of their answers, durations are also remembered in proportion to these estimates,
 * which are often far off. An estimate can only lower what is expected without it, so that no caller's estimate counts
 * against the requests of others. A route with few answers is judged by the answers of its service on all routes.
 */
public class AnswerDurations(
    /** The number of answers that are remembered for each route and each service. */
    private val window: Int = 64,
    /** The number of answers of a route below which those of its service are used. */
    private val minAnswers: Int = 8,
) {
    private data class Key(
        val route: String?,
        val service: ServiceId,
        val isScaled: Boolean,
    )

    /** Milliseconds of each answer, for each unit of the estimated length if the key is scaled. */
    private val recent = HashMap<Key, ArrayDeque<Double>>()

    /**
     * Records an answer on [route] by [service], or a request that ended without one, which took [duration].
     *
     * [estimatedTokens] is the caller's estimate of the answer's length; it is ignored if it is null or not positive.
     */
    public fun onEnded(
        route: String,
        service: ServiceId,
        duration: Duration,
        estimatedTokens: Int? = null,
    ) {
        val millis = duration.toDouble(DurationUnit.MILLISECONDS)
        for (key in listOf(Key(route, service, isScaled = false), Key(null, service, isScaled = false))) {
            add(key, millis)
            if (estimatedTokens != null && estimatedTokens > 0) add(key.copy(isScaled = true), millis / estimatedTokens)
        }
    }

    /** Returns how long an answer takes; null if nothing is known about answers of [service]. */
    public fun expected(
        route: String,
        service: ServiceId,
        estimatedTokens: Int? = null,
    ): AnswerDuration? {
        val plain = known(route, service, isScaled = false)?.sorted() ?: return null
        val unscaled = AnswerDuration(median(plain).milliseconds, plain.last().milliseconds)
        val tokens = estimatedTokens?.takeIf { it > 0 } ?: return unscaled
        val scaled =
            known(route, service, isScaled = true)?.takeIf { it.size >= minAnswers }?.sorted() ?: return unscaled
        return AnswerDuration(
            median = minOf(unscaled.median, (median(scaled) * tokens).milliseconds),
            longest = minOf(unscaled.longest, (scaled.last() * tokens).milliseconds),
        )
    }

    /** Forgets the routes that are not in [routes] and the services that are not in [services]. */
    public fun retain(
        routes: Set<String>,
        services: Set<ServiceId>,
    ) {
        recent.keys.retainAll { it.service in services && (it.route == null || it.route in routes) }
    }

    private fun add(
        key: Key,
        value: Double,
    ) {
        val values = recent.getOrPut(key, ::ArrayDeque)
        if (values.size == window) values.removeFirst()
        values.addLast(value)
    }

    private fun known(
        route: String,
        service: ServiceId,
        isScaled: Boolean,
    ): List<Double>? {
        val ofRoute = recent[Key(route, service, isScaled)]
        return if (ofRoute != null && ofRoute.size >= minAnswers) ofRoute else recent[Key(null, service, isScaled)]
    }

    private fun median(sorted: List<Double>): Double = sorted[sorted.size / 2]
}
