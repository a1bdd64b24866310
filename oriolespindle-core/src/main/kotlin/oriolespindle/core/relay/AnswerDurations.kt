package oriolespindle.core.relay

import oriolespindle.core.id.ServiceId
import kotlin.time.Duration

/**
 * Remembers how long recent answers took, by route.
 *
 * A route with few answers is judged by the answers of its service on all routes. Callers' estimates of the lengths of
 * their answers are not used: they are often far off, and one that is too low would let a long answer in.
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
    )

    private val recent = HashMap<Key, ArrayDeque<Duration>>()

    /** Records a request on [route] to [service] that ended after [duration], with its answer or without. */
    public fun onEnded(
        route: String,
        service: ServiceId,
        duration: Duration,
    ) {
        add(Key(route, service), duration)
        add(Key(null, service), duration)
    }

    /**
     * Returns the share of the recent answers that took at most [limit]; null if none of [service] is known.
     *
     * [inProgress] has the ages of the requests on [route] that have not ended; those over [limit] count as answers
     * that take longer.
     */
    public fun shareWithin(
        route: String,
        service: ServiceId,
        limit: Duration,
        inProgress: List<Duration> = emptyList(),
    ): Double? {
        val known = known(route, service) ?: return null
        val longer = inProgress.count { it > limit }
        return known.count { it <= limit } / (known.size + longer).toDouble()
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
        duration: Duration,
    ) {
        val durations = recent.getOrPut(key, ::ArrayDeque)
        if (durations.size == window) durations.removeFirst()
        durations.addLast(duration)
    }

    private fun known(
        route: String,
        service: ServiceId,
    ): List<Duration>? {
        val ofRoute = recent[Key(route, service)]
        return if (ofRoute != null && ofRoute.size >= minAnswers) ofRoute else recent[Key(null, service)]
    }
}
