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

    private data class Ended(
        val duration: Duration,
        val isComplete: Boolean,
    )

    private val recent = HashMap<Key, ArrayDeque<Ended>>()

    /**
     * Records a request on [route] to [service] that ended after [duration].
     *
     * If it ended without the complete answer, which is then known only to take longer, [isComplete] is false.
     */
    public fun onEnded(
        route: String,
        service: ServiceId,
        duration: Duration,
        isComplete: Boolean = true,
    ) {
        val ended = Ended(duration, isComplete)
        add(Key(route, service), ended)
        add(Key(null, service), ended)
    }

    /**
     * Returns the share of the recent answers that took at most [limit]; null if none of [service] is known.
     *
     * [inProgress] has the ages of the requests on [route] that have not ended. Like requests that ended without their
     * answers, they count only if they have taken longer than [limit].
     */
    public fun shareWithin(
        route: String,
        service: ServiceId,
        limit: Duration,
        inProgress: List<Duration> = emptyList(),
    ): Double? {
        val known = known(route, service) ?: return null
        val inTime = known.count { it.isComplete && it.duration <= limit }
        val longer = known.count { it.duration > limit } + inProgress.count { it > limit }
        return if (inTime + longer == 0) null else inTime / (inTime + longer).toDouble()
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
        ended: Ended,
    ) {
        val values = recent.getOrPut(key, ::ArrayDeque)
        if (values.size == window) values.removeFirst()
        values.addLast(ended)
    }

    private fun known(
        route: String,
        service: ServiceId,
    ): List<Ended>? {
        val ofRoute = recent[Key(route, service)]
        return if (ofRoute != null && ofRoute.size >= minAnswers) ofRoute else recent[Key(null, service)]
    }
}
