package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** Remembers for [retention] that processes of endpoints were leaving when their registrations were removed. */
internal class LeavingProcesses(
    private val retention: Duration,
) {
    private val removedAt = LinkedHashMap<Pair<EndpointId, Long>, Timestamp>()

    fun add(
        now: Timestamp,
        endpoint: RelayEndpoint,
    ) {
        removedAt.values.removeIf { now - it > retention }
        removedAt[key(endpoint)] = now
    }

    /** Whether this process of [endpoint] was leaving. */
    fun contains(
        now: Timestamp,
        endpoint: RelayEndpoint,
    ): Boolean = removedAt[key(endpoint)]?.let { now - it <= retention } ?: false

    private fun key(endpoint: RelayEndpoint) = endpoint.id to endpoint.startedAt
}
