package oriolespindle.core.placement

import oriolespindle.core.id.EndpointId
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Delays the first placement of a fleet until its endpoints have registered.
 *
 * A placement on only some of the endpoints would divide the layers among too few of them, and loaded layers stay in
 * place. A fleet with an endpoint that holds layers is not new, so its placement is not delayed.
 */
public class ColdStart(
    /** The time without new registrations before placement; covers a registration interval and the store's lag. */
    private val settleDelay: Duration = 2_500.milliseconds,
) {
    private val knownEndpoints = HashSet<EndpointId>()
    private var lastRegistration: Timestamp? = null

    /** Returns whether layers may be placed at [now]; [endpoints] are all that have registered so far. */
    public fun mayPlace(
        now: Timestamp,
        endpoints: List<RelayEndpoint>,
    ): Boolean {
        val hasNewEndpoint = endpoints.count { knownEndpoints.add(it.id) } > 0
        if (hasNewEndpoint) lastRegistration = now
        if (endpoints.any { it.layers != null }) return true
        val last = lastRegistration ?: return false
        return now - last >= settleDelay
    }
}
