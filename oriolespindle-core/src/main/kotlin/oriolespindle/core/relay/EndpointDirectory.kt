package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The times of [EndpointDirectory]. */
public data class DirectorySettings(
    /** Registrations that lapsed with the store are renewed within two seconds of its return; see docs/platform.md. */
    public val renewalTimeout: Duration = 2_200.milliseconds,
    /** The first pause after a failed contact, doubled with each further one up to [maxFailureBackoff]. */
    public val initialBackoff: Duration = 100.milliseconds,
    /** Short enough to find a restarted endpoint soon after it listens again. */
    public val maxFailureBackoff: Duration = 2_000.milliseconds,
    /** The longest pause after refusals; a full endpoint has room again as soon as one of its requests ends. */
    public val maxRefusalBackoff: Duration = 1_000.milliseconds,
    /** The pause of an endpoint that another one reports as lost; it is gone for good or restarts as a new process. */
    public val lostEndpointBackoff: Duration = 3_000.milliseconds,
)

/**
 * The endpoints that may receive requests, from their registrations and from this instance's own contacts.
 *
 * A registration that is removed while the store answers is gone at once. One that is missing after an outage of the
 * store may only have lapsed; its endpoint stays in use until [DirectorySettings.renewalTimeout] has passed since
 * the store came back. An endpoint that failed a contact or refused a request pauses and is tried again. Earlier
 * requests that it goes on with say nothing about new ones, since an endpoint that leaves finishes them too.
 */
public class EndpointDirectory(
    private val settings: DirectorySettings = DirectorySettings(),
) {
    private inner class Entry(
        var endpoint: RelayEndpoint,
    ) {
        var lapsedUntil: Timestamp? = null
        val failureBackoff = ExponentialBackoff(settings.initialBackoff, settings.maxFailureBackoff)
        val refusalBackoff = ExponentialBackoff(settings.initialBackoff, settings.maxRefusalBackoff)
        var refusedAt: Timestamp? = null

        fun isBackingOff(now: Timestamp): Boolean = failureBackoff.isActive(now) || refusalBackoff.isActive(now)
    }

    private val entries = HashMap<EndpointId, Entry>()
    private var isStoreLost = false

    /** When registrations that lapsed in an outage count as gone; null when none is waited for. */
    private var renewalDeadline: Timestamp? = null

    /** Whether the registrations have been read at least once. */
    public var isInitialized: Boolean = false
        private set

    /** The number of registered endpoints, with those whose registration may have lapsed with the store. */
    public val size: Int get() = entries.size

    /** Takes the whole list of registrations. */
    public fun replaceAll(
        now: Timestamp,
        endpoints: List<RelayEndpoint>,
    ) {
        isInitialized = true
        endpoints.forEach(::put)
        val listed = endpoints.mapTo(HashSet()) { it.id }
        entries.keys.filter { it !in listed }.forEach { remove(now, it) }
    }

    /** Takes one registration that is new or has changed. */
    public fun put(endpoint: RelayEndpoint) {
        val known = entries[endpoint.id]
        if (known == null || endpoint.startedAt > known.endpoint.startedAt) {
            entries[endpoint.id] = Entry(endpoint)
        } else if (endpoint.startedAt == known.endpoint.startedAt) {
            // A process that leaves does not come back, whatever an older registration says.
            val leaving = known.endpoint.isLeaving || endpoint.isLeaving
            known.endpoint = endpoint.copy(isLeaving = leaving)
            known.lapsedUntil = null
        }
    }

    /** Takes the removal of a registration. */
    public fun remove(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        val until = renewalDeadline
        val entry = entries[endpoint] ?: return
        if (isStoreLost || (until != null && now < until)) {
            if (entry.lapsedUntil == null) entry.lapsedUntil = until ?: Timestamp(Long.MAX_VALUE)
        } else {
            entries.remove(endpoint)
        }
    }

    /** The store does not answer this instance. */
    public fun onStoreLost() {
        isStoreLost = true
        renewalDeadline = null
    }

    /** The store answers again. */
    public fun onStoreRecovered(now: Timestamp) {
        if (!isStoreLost) return
        isStoreLost = false
        val until = now + settings.renewalTimeout
        renewalDeadline = until
        entries.values.forEach { if (it.lapsedUntil != null) it.lapsedUntil = until }
    }

    /** Another endpoint reports that [endpoint] does not answer. */
    public fun onReportedLost(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        entries[endpoint]?.failureBackoff?.startFor(now, settings.lostEndpointBackoff)
    }

    /** A contact with [endpoint] failed in a way that concerns the whole endpoint. */
    public fun onFailure(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        entries[endpoint]?.failureBackoff?.start(now)
    }

    /** [endpoint] refused a request because it is full, leaves or cannot reach what it needs. */
    public fun onRefusal(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        val entry = entries[endpoint] ?: return
        entry.refusedAt = now
        entry.refusalBackoff.start(now)
    }

    /** [endpoint] answered, or went on with, a request that was sent at [sentAt]. */
    public fun onSuccess(
        endpoint: EndpointId,
        sentAt: Timestamp,
    ) {
        val entry = entries[endpoint] ?: return
        entry.failureBackoff.reset()
        val refusedAt = entry.refusedAt
        if (refusedAt != null && sentAt > refusedAt) {
            entry.refusedAt = null
            entry.refusalBackoff.reset()
        }
    }

    /** The address is used by another process now; the registration is out of date. */
    public fun onReplaced(endpoint: EndpointId) {
        entries.remove(endpoint)
    }

    /** Returns the endpoint [id] while it is registered. */
    public fun find(id: EndpointId): RelayEndpoint? = entries[id]?.endpoint

    /** Returns the registered endpoint at [address], the one that started last if there are several. */
    public fun findByAddress(address: String): RelayEndpoint? =
        entries.values
            .filter { it.endpoint.address == address }
            .maxByOrNull { it.endpoint.startedAt }
            ?.endpoint

    /** Returns the registered endpoints of [service], with those that leave or pause. */
    public fun registered(
        now: Timestamp,
        service: ServiceId,
    ): List<RelayEndpoint> = currentEntries(now).map { it.endpoint }.filter { it.service == service }

    /** Returns the endpoints of [service] that may receive a request now. */
    public fun usable(
        now: Timestamp,
        service: ServiceId,
    ): List<RelayEndpoint> =
        currentEntries(now)
            .filter { it.endpoint.service == service && !it.endpoint.isLeaving && !it.isBackingOff(now) }
            .map { it.endpoint }

    private fun currentEntries(now: Timestamp): List<Entry> {
        entries.values.removeIf { entry -> entry.lapsedUntil?.let { now >= it } ?: false }
        return entries.values.toList()
    }
}
