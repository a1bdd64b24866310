package oriolespindle.core.placement

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ZoneId
import java.util.random.RandomGenerator

/** Makes instances with the same view choose different paths of about the same cost. */
public class PathBalance(
    private val random: RandomGenerator,
    /** The factor by which the load of an endpoint is weighed for the choice between the endpoints of a zone. */
    internal val loadFactor: (EndpointId) -> Double = { 1.0 },
    /** Whether the load of another zone is known. */
    internal val isKnown: (ZoneId) -> Boolean = { true },
    /** The cost of each endpoint is multiplied by a random factor of 1 to 1 plus this, anew for each request. */
    private val spread: Double = 0.3,
) {
    internal fun randomFactor(): Double = 1 + spread * random.nextDouble()
}
