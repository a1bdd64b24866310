package oriolespindle.core.placement

import oriolespindle.core.id.EndpointId
import oriolespindle.core.relay.RelayEndpoint
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Holds back the first placement of a fleet until its endpoints have registered.
 *
 * A placement of a part of the endpoints divides the layers among too few of them, and what is loaded stays in place.
 * As soon as any endpoint holds layers the fleet is not new, and placement goes on at once.
 */
public class ColdStart(
    /** No endpoint has registered for this long; covers one registration interval and the lag of the store. */
    private val settleDelay: Duration = 2_500.milliseconds,
) {
    private val knownEndpoints = HashSet<EndpointId>()
    private var lastRegistration: Timestamp? = null

    /** Returns whether layers may be placed on [endpoints], all that have registered by [now]. */
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
