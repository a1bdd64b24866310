package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * Tracks the endpoints that may receive requests by their registrations and by the results of this instance's requests.
 *
 * An endpoint is dropped at once when its registration is removed while the store answers. A registration that is
 * missing after a store outage may only have lapsed, so its endpoint stays in use until
 * [DirectorySettings.renewalTimeout] after the store's return. If the store has confirmed the registration since its
 * return, the endpoint may as well have left, so it stays in use for [DirectorySettings.removalTimeout] at most.
 *
 * A store that was restored from an older copy lacks registrations, which are kept in the same way, and has old ones
 * again: they do not replace what is known, and are used only beside it. See [onStoreRestored].
 *
 * The revisions of the store order registrations. The start of a process only tells it apart from others, since clocks
 * of endpoints differ and may be set back. Of several processes at one address only the one that registered last can
 * answer, so the others are not used even if they are still registered.
 *
 * An endpoint that leaves receives no more requests, whether its registration or one of its answers says so. Failures
 * and refusals put an endpoint into an exponential backoff. Progress of a request that was sent before a refusal does
 * not end the refusal's backoff, since an endpoint that leaves finishes its earlier requests, too. An endpoint that
 * asks for a pause receives nothing until its end, whatever happens meanwhile.
 */
public class EndpointDirectory(
    private val settings: DirectorySettings = DirectorySettings(),
) {
    private val entries = HashMap<EndpointId, DirectoryEntry>()

    /** The current entries by service; null after a change of the registrations. */
    private var entriesByService: Map<ServiceId, List<DirectoryEntry>>? = null
    private var isStoreLost = false

    /** When registrations that lapsed in the latest store outage expire; null before it and while it lasts. */
    private var renewalDeadline: Timestamp? = null

    /** When the store last confirmed all registrations; null until it has done so since its return. */
    private var confirmedAt: Timestamp? = null

    /** Whether the next list is the first one of a restored store. */
    private var isListRestored = false
    private val leaving = LeavingProcesses(settings.leaveRetention)

    /** Whether [replaceAll] has been called at least once. */
    public var isInitialized: Boolean = false
        private set

    /** The number of endpoints, including those whose registration may have lapsed in a store outage. */
    public val size: Int get() = entries.size

    /** Replaces all registrations by those of [endpoints], and returns the change of each known or listed endpoint. */
    public fun replaceAll(
        now: Timestamp,
        endpoints: List<RelayEndpoint>,
    ): Map<EndpointId, RegistrationChange> {
        isInitialized = true
        val changes = endpoints.associateTo(HashMap()) { it.id to if (isListRestored) restore(now, it) else put(it) }
        isListRestored = false
        entries.keys.filter { it !in changes }.forEach { changes[it] = remove(now, it) }
        return changes
    }

    /**
     * Adds or updates the registration of [endpoint]; one that is older than the known one is ignored.
     *
     * Registrations of one revision, such as those of a platform without revisions, are ordered by start.
     */
    public fun put(endpoint: RelayEndpoint): RegistrationChange {
        val known = entries[endpoint.id]
        if (known != null && known.endpoint == endpoint && known.lapsedUntil == null) return RegistrationChange.NONE
        if (known != null && REGISTRATION_ORDER.compare(endpoint, known.endpoint) < 0) return RegistrationChange.IGNORED
        entriesByService = null
        if (known == null || endpoint.startedAt != known.endpoint.startedAt) {
            entries[endpoint.id] = DirectoryEntry(endpoint, settings)
            return RegistrationChange.ADDED
        }
        val wasLeaving = known.endpoint.isLeaving
        // A process never cancels its leave, so a registration without the flag is older.
        known.endpoint = endpoint.copy(isLeaving = wasLeaving || endpoint.isLeaving)
        known.lapsedUntil = null
        known.restored = null
        return if (endpoint.isLeaving && !wasLeaving) RegistrationChange.LEAVING else RegistrationChange.UPDATED
    }

    /**
     * Adds the registration of [endpoint] that a restored store has.
     *
     * It may be older than what is known: a known process of the same id stays in use for the time in which endpoints
     * write their registrations again, and an unknown one is not used if it shares its address with a known one. One
     * that was known to leave still does.
     */
    private fun restore(
        now: Timestamp,
        endpoint: RelayEndpoint,
    ): RegistrationChange {
        val known = entries[endpoint.id]
        if (known == null) {
            entriesByService = null
            entries[endpoint.id] = DirectoryEntry(withKnownLeave(now, endpoint), settings, registeredAt = null)
            return RegistrationChange.ADDED
        }
        if (known.endpoint.startedAt == endpoint.startedAt) return put(endpoint)
        known.restored = endpoint
        return remove(now, endpoint.id)
    }

    private fun withKnownLeave(
        now: Timestamp,
        endpoint: RelayEndpoint,
    ): RelayEndpoint =
        if (!endpoint.isLeaving && leaving.contains(now, endpoint)) endpoint.copy(isLeaving = true) else endpoint

    /** Removes the registration of [endpoint], or lets it lapse during and shortly after a store outage. */
    public fun remove(
        now: Timestamp,
        endpoint: EndpointId,
    ): RegistrationChange {
        val entry = entries[endpoint] ?: return RegistrationChange.NONE
        val until = lapseEnd(now)
        entriesByService = null
        if (now < until) {
            if (entry.lapsedUntil == null) entry.lapsedUntil = until
            return RegistrationChange.LAPSED
        }
        removeEntry(now, entry)
        return RegistrationChange.REMOVED
    }

    private fun removeEntry(
        now: Timestamp,
        entry: DirectoryEntry,
    ) {
        entries.remove(entry.endpoint.id)
        if (entry.endpoint.isLeaving) leaving.add(now, entry.endpoint)
    }

    /** Returns until when an endpoint whose registration is removed stays in use; [now] if it has certainly left. */
    private fun lapseEnd(now: Timestamp): Timestamp {
        if (isStoreLost) return FAR_FUTURE
        val renewal = renewalDeadline ?: return now
        return minOf(renewal, confirmedAt?.let { it + settings.removalTimeout } ?: renewal)
    }

    /** Keeps removed registrations from now on, since the store does not answer. */
    public fun onStoreLost() {
        isStoreLost = true
        renewalDeadline = null
        confirmedAt = null
    }

    /** Lets lapsed registrations expire after [DirectorySettings.renewalTimeout], since the store answers again. */
    public fun onStoreRecovered(now: Timestamp) {
        if (!isStoreLost) return
        isStoreLost = false
        val until = now + settings.renewalTimeout
        renewalDeadline = until
        entries.values.forEach { if (it.lapsedUntil != null) it.lapsedUntil = until }
    }

    /**
     * Called before the first list of a store that was restored from an older copy.
     *
     * Registrations that the list lacks expire after [DirectorySettings.renewalTimeout].
     */
    public fun onStoreRestored(now: Timestamp) {
        isListRestored = true
        renewalDeadline = now + settings.renewalTimeout
        confirmedAt = null
    }

    /** Called when the store has answered and all changes of registrations so far have been reported. */
    public fun onConfirmed(now: Timestamp) {
        if (!isStoreLost) confirmedAt = now
    }

    /** Starts a backoff because another endpoint reports that [endpoint] does not answer. */
    public fun onReportedLost(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        entries[endpoint]?.failureBackoff?.startFor(now, settings.lostEndpointBackoff)
    }

    /**
     * Keeps requests from this process of [endpoint], since nothing listens at its address.
     *
     * It holds until another process registers, or until [onListening].
     */
    public fun onEnded(endpoint: RelayEndpoint) {
        entryOf(endpoint)?.hasEnded = true
    }

    /** Records that this process of [endpoint], which was reported to have ended, accepts connections. */
    public fun onListening(endpoint: RelayEndpoint) {
        entryOf(endpoint)?.hasEnded = false
    }

    /**
     * Starts a backoff of [duration], since [endpoint] does not answer to a connection.
     *
     * A longer one stays; returns whether none was active.
     */
    public fun onSilent(
        now: Timestamp,
        endpoint: EndpointId,
        duration: Duration,
    ): Boolean {
        val backoff = entries[endpoint]?.failureBackoff ?: return false
        val isNew = !backoff.isActive(now)
        if (backoff.remaining(now) < duration) backoff.startFor(now, duration)
        return isNew
    }

    /** Starts a backoff because a request to [endpoint] failed in a way that concerns the whole endpoint. */
    public fun onFailure(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        entries[endpoint]?.failureBackoff?.start(now)
    }

    /** Starts a backoff because [endpoint] refused a request: it is full, leaves or cannot reach what it needs. */
    public fun onRefusal(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        val entry = entries[endpoint] ?: return
        entry.refusedAt = now
        entry.refusalBackoff.start(now)
    }

    /** Starts a backoff because [endpoint] went on sending without any progress of the answer. */
    public fun onEndlessAnswer(
        now: Timestamp,
        endpoint: EndpointId,
    ) {
        val entry = entries[endpoint] ?: return
        // Other streams that were sent before may progress until they meet the same fault.
        entry.refusedAt = now
        entry.refusalBackoff.startFor(now, settings.endlessAnswerBackoff)
    }

    /**
     * Starts a backoff because another instance was told that [endpoint] refuses.
     *
     * It is ignored when it is about another process or when a backoff is active, which already covers it.
     */
    public fun onSharedRefusal(
        now: Timestamp,
        refusal: SharedRefusal,
    ) {
        val entry = entries[refusal.endpoint] ?: return
        if (entry.endpoint.startedAt == refusal.startedAt) onRefusal(now, refusal.endpoint)
    }

    /** Ends the failure backoff, and the refusal backoff if the request was sent ([sentAt]) after the refusal. */
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

    /**
     * Records that an answer of [endpoint] says that its process leaves; returns whether that was unknown.
     *
     * Like a registration with the flag, it holds for this process until its registration is removed.
     */
    public fun onLeaving(endpoint: RelayEndpoint): Boolean {
        val entry = entryOf(endpoint) ?: return false
        if (entry.endpoint.isLeaving) return false
        entry.endpoint = entry.endpoint.copy(isLeaving = true)
        return true
    }

    /** Returns the entry of this process of [endpoint], or null if it is not registered. */
    private fun entryOf(endpoint: RelayEndpoint): DirectoryEntry? =
        entries[endpoint.id]?.takeIf { it.endpoint.startedAt == endpoint.startedAt }

    /**
     * Keeps requests from this process of [endpoint] for [duration] from [now], since its answer asks for that.
     *
     * Returns the pause, which is [DirectorySettings.maxRequestedPause] at most. Successes do not end it, and a shorter
     * one does not replace it.
     */
    public fun onPauseRequested(
        now: Timestamp,
        endpoint: RelayEndpoint,
        duration: Duration,
    ): Duration {
        val pause = minOf(duration, settings.maxRequestedPause)
        entryOf(endpoint)?.let { it.pausedUntil = maxOf(it.pausedUntil ?: now, now + pause) }
        return pause
    }

    /** Returns whether [endpoint] has asked for a pause that is not over. */
    public fun isPaused(
        now: Timestamp,
        endpoint: RelayEndpoint,
    ): Boolean = entryOf(endpoint)?.isPaused(now) ?: false

    /** Removes [endpoint], because another process uses its address and the registration is out of date. */
    public fun onReplaced(endpoint: EndpointId) {
        entriesByService = null
        entries.remove(endpoint)
    }

    /** Returns the endpoint [id], or null if it is not registered. */
    public fun find(id: EndpointId): RelayEndpoint? = entries[id]?.endpoint

    /**
     * Returns whether requests may be sent to [endpoint], that is, to this process of it.
     *
     * A pause that it has asked for counts, but a backoff does not.
     */
    public fun isInUse(
        now: Timestamp,
        endpoint: RelayEndpoint,
    ): Boolean {
        val entry = entryOf(endpoint) ?: return false
        if (entry.hasEnded) return false
        return !entry.endpoint.isLeaving && !entry.isPaused(now) && !entry.isExpired(now)
    }

    /** Returns what the registrations tell about this process of [endpoint]. */
    public fun registrationState(
        now: Timestamp,
        endpoint: RelayEndpoint,
    ): RegistrationState {
        val entry = entryOf(endpoint)
        return when {
            entry == null || entry.isExpired(now) -> RegistrationState.GONE
            entry.endpoint.isLeaving -> RegistrationState.LEAVING
            findByAddress(endpoint.address)?.id != endpoint.id -> RegistrationState.GONE
            else -> RegistrationState.IN_USE
        }
    }

    /** Returns the registered endpoint at [address], or null; if there are several, the one that registered last. */
    public fun findByAddress(address: String): RelayEndpoint? =
        entries.values
            .filter { it.endpoint.address == address }
            .maxWithOrNull(PROCESS_ORDER)
            ?.endpoint

    /** Returns the registered endpoints of [service], including those that leave or are in a backoff. */
    public fun registered(
        now: Timestamp,
        service: ServiceId,
    ): List<RelayEndpoint> = currentEntries(now, service).map { it.endpoint }

    /** Returns the endpoints of [service] that may receive a request now. */
    public fun usable(
        now: Timestamp,
        service: ServiceId,
    ): List<RelayEndpoint> =
        currentEntries(now, service)
            .filter { !it.endpoint.isLeaving && !it.hasEnded && !it.isPaused(now) && !it.isBackingOff(now) }
            .map { it.endpoint }

    /** Returns the endpoints of [service] that have asked for a pause, with the time until each may be used again. */
    public fun paused(
        now: Timestamp,
        service: ServiceId,
    ): Map<RelayEndpoint, Duration> =
        currentEntries(now, service)
            .filter { !it.endpoint.isLeaving && !it.hasEnded && it.isPaused(now) }
            .associate { it.endpoint to it.availableIn(now) }

    private fun currentEntries(
        now: Timestamp,
        service: ServiceId,
    ): List<DirectoryEntry> {
        expireLapsed(now)
        val grouped = entriesByService ?: groupByService().also { entriesByService = it }
        return grouped[service].orEmpty()
    }

    private fun expireLapsed(now: Timestamp) {
        val expired = entries.values.filter { it.isExpired(now) }
        if (expired.isEmpty()) return
        entriesByService = null
        for (entry in expired) {
            removeEntry(now, entry)
            val restored = entry.restored ?: continue
            entries[restored.id] = DirectoryEntry(withKnownLeave(now, restored), settings, registeredAt = null)
        }
    }

    private fun groupByService(): Map<ServiceId, List<DirectoryEntry>> =
        entries.values
            .groupBy { it.endpoint.address }
            .values
            .flatMap { sharing ->
                val last = sharing.maxWith(PROCESS_ORDER)
                sharing.filter { PROCESS_ORDER.compare(it, last) == 0 }
            }.groupBy { it.endpoint.service }

    private companion object {
        val FAR_FUTURE = Timestamp(Long.MAX_VALUE)

        /** Orders the registrations of one id. */
        val REGISTRATION_ORDER = compareBy<RelayEndpoint>({ it.revision }, { it.startedAt })

        /** Orders processes by their first registrations; later ones may be delayed writes of a process that ended. */
        val PROCESS_ORDER = compareBy<DirectoryEntry>({ it.registeredAt }, { it.endpoint.startedAt })
    }
}
