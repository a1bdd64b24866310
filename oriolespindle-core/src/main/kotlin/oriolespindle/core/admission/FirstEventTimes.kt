package oriolespindle.core.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The typical time from the start of a stream to its first event, by route. */
public class FirstEventTimes(
    /** The time of a route without streams so far; engines with free capacity need 60 to 100 ms. */
    private val initial: Duration = 100.milliseconds,
    /** The weight of the newest stream in the moving average of its route. */
    private val smoothingFactor: Double = 0.1,
) {
    private val timeByRoute = HashMap<String, Duration>()

    /** Returns the moving average of the route [route]. */
    public fun typical(route: String): Duration = timeByRoute[route] ?: initial

    /** Records that the first event of a stream on [route] came [latency] after its start. */
    public fun onFirstEvent(
        route: String,
        latency: Duration,
    ) {
        val mean = typical(route)
        timeByRoute[route] = mean + (latency - mean) * smoothingFactor
    }

    /** Forgets the routes that are not in [routes]. */
    public fun retain(routes: Set<String>) {
        timeByRoute.keys.retainAll(routes)
    }
}
