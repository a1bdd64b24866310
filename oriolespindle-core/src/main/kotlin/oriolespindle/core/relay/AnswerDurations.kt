package oriolespindle.core.relay

import oriolespindle.core.id.ServiceId
import oriolespindle.core.lifecycle.AnswerDuration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Remembers how long recent answers took, by route.
 *
 * Where callers estimate the lengths of their answers, durations are remembered in proportion to these estimates. A route
 * without answers is estimated by the answers of its service on all routes.
 */
public class AnswerDurations(
    /** The number of answers that are remembered for each route and each service. */
    private val window: Int = 64,
) {
    private data class Key(
        val route: String?,
        val service: ServiceId,
        val isScaled: Boolean,
    )

    /** Milliseconds of each answer, for each unit of the estimated length if there is one. */
    private val recent = HashMap<Key, ArrayDeque<Double>>()

    /**
     * Records an answer on [route] by [service], or a request that ended without one, which took [duration].
     *
     * [estimatedLength] is the caller's estimate of the answer's length in any unit; null if it gave none.
     */
    public fun onEnded(
        route: String,
        service: ServiceId,
        duration: Duration,
        estimatedLength: Int? = null,
    ) {
        val millis = duration.toDouble(DurationUnit.MILLISECONDS) / scale(estimatedLength)
        for (key in keys(route, service, estimatedLength)) {
            val durations = recent.getOrPut(key, ::ArrayDeque)
            if (durations.size == window) durations.removeFirst()
            durations.addLast(millis)
        }
    }

    /** Returns how long an answer takes; null if nothing is known about such answers of [service]. */
    public fun expected(
        route: String,
        service: ServiceId,
        estimatedLength: Int? = null,
    ): AnswerDuration? {
        val known = keys(route, service, estimatedLength).firstNotNullOfOrNull { recent[it] } ?: return null
        val sorted = known.sorted()
        val median = sorted[sorted.size / 2]
        val scale = scale(estimatedLength)
        return AnswerDuration(median = (median * scale).milliseconds, longest = (sorted.last() * scale).milliseconds)
    }

    /** Forgets the routes that are not in [routes] and the services that are not in [services]. */
    public fun retain(
        routes: Set<String>,
        services: Set<ServiceId>,
    ) {
        recent.keys.retainAll { it.service in services && (it.route == null || it.route in routes) }
    }

    private fun keys(
        route: String,
        service: ServiceId,
        estimatedLength: Int?,
    ): List<Key> = listOf(route, null).map { Key(it, service, isScaled = estimatedLength != null) }

    private fun scale(estimatedLength: Int?): Int = estimatedLength?.coerceAtLeast(1) ?: 1
}
