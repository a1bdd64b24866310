package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A process of an endpoint that did not serve its part of a path. */
public data class SharedRefusal(
    public val endpoint: EndpointId,
    /** [RelayEndpoint.startedAt] of the process. */
    public val startedAt: Long,
)

/**
 * Decides which refusals an instance tells the others of its zone.
 *
 * With many instances, each one sees few requests, and after the loss of several endpoints at once every instance would
 * find out about each of them by requests of its own callers. Only what an engine reports about another engine is
 * shared: a failed connection may be due to this instance's own links, and would spread that to sound instances.
 */
public class RefusalSharing(
    /** The minimum time between two messages about one endpoint; about the first backoff after a refusal. */
    private val minInterval: Duration = 100.milliseconds,
) {
    private val sharedAt = HashMap<EndpointId, Timestamp>()

    /** Returns the message to send after [first], which received a request, has reported that [faulty] refuses. */
    public fun onRefusal(
        now: Timestamp,
        first: RelayEndpoint,
        faulty: RelayEndpoint,
    ): SharedRefusal? {
        if (faulty.id == first.id) return null
        val last = sharedAt[faulty.id]
        if (last != null && now - last < minInterval) return null
        sharedAt[faulty.id] = now
        return SharedRefusal(faulty.id, faulty.startedAt)
    }

    /** Forgets the endpoints that are not in [registered]. */
    public fun retain(registered: Set<EndpointId>) {
        sharedAt.keys.retainAll(registered)
    }
}
