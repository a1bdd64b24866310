package oriolespindle.core.lifecycle

import oriolespindle.core.chain.EndpointAvailability
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import java.util.EnumSet

/**
 * Merges the states of endpoints that the platform's list, the endpoints and the operators report.
 *
 * The sources may lag behind or contradict each other; leaving takes precedence. Once the list or the endpoint itself
 * has reported it as leaving, an endpoint stays leaving for the rest of its incarnation, whatever they report later. An
 * operator's drain lasts until a newer version withdraws it. A list that is not newer than the last one is ignored.
 *
 * Endpoints of the first list are already in use and have full weight; endpoints that join later go through slow start.
 */
public class EndpointLifecycle(
    private val settings: LifecycleSettings = LifecycleSettings(),
) {
    private class Entry(
        var joinedAt: Timestamp?,
    ) {
        /** The list and the endpoint identify incarnations independently of each other. */
        var listedIncarnation = ""
        var reportedIncarnation: String? = null
        val endedIncarnations = HashSet<String>()
        var listed: PlatformState? = null
        val leaving = EnumSet.noneOf(LeavingSource::class.java)
        var hasAnswered = false
        var drainVersion = Long.MIN_VALUE
        var isDrained = false
        var goneAt: Timestamp? = null
    }

    private val entries = HashMap<EndpointId, Entry>()
    private var listVersion = Long.MIN_VALUE

    /** The endpoints that any source has reported and whose entries have not expired. */
    public val endpoints: Set<EndpointId> get() = entries.keys.toSet()

    /** Applies the platform's complete list at [version]; an endpoint that a newer list no longer contains is gone. */
    public fun onPlatformList(
        now: Timestamp,
        version: Long,
        entries: List<PlatformEntry>,
    ) {
        if (version <= listVersion) return
        val isFirstList = listVersion == Long.MIN_VALUE
        listVersion = version
        entries.forEach { updateFromList(now, it, isFirstList) }
        val listedIds = entries.mapTo(HashSet()) { it.endpoint }
        this.entries.forEach { (id, entry) -> if (id !in listedIds && entry.listed != null) markGone(now, entry) }
        this.entries.values.removeIf { entry -> canForget(now, entry) }
    }

    /**
     * Applies an answer of the endpoint itself; [incarnation] is its start identifier if it reports one.
     *
     * A late answer of an earlier incarnation is ignored. Without an identifier, an answer that arrives after the list
     * reported the endpoint as gone may be late too, and is ignored until the list contains the endpoint again.
     */
    public fun onEndpointAnswer(
        now: Timestamp,
        endpoint: EndpointId,
        draining: Boolean,
        incarnation: String? = null,
    ) {
        val entry = entries.getOrPut(endpoint) { Entry(now) }
        if (entry.listed == PlatformState.GONE || incarnation in entry.endedIncarnations) return
        val previous = entry.reportedIncarnation
        if (incarnation != null && previous != null && incarnation != previous) {
            entry.endedIncarnations += previous
            startIncarnation(now, entry)
            if (entry.listed == PlatformState.LEAVING) entry.leaving += LeavingSource.PLATFORM
        }
        entry.reportedIncarnation = incarnation ?: previous
        entry.hasAnswered = true
        if (draining) entry.leaving += LeavingSource.ENDPOINT
    }

    /** Applies an operator's drain, or its withdrawal if [draining] is false; the highest [version] is in force. */
    public fun onOperatorDrain(
        now: Timestamp,
        endpoint: EndpointId,
        version: Long,
        draining: Boolean,
    ) {
        val entry = entries.getOrPut(endpoint) { Entry(now) }
        if (version <= entry.drainVersion) return
        entry.drainVersion = version
        if (entry.isDrained && !draining) entry.joinedAt = now
        entry.isDrained = draining
    }

    /** Returns whether [endpoint] may receive new work; an endpoint that no source reports as running is down. */
    public fun state(
        now: Timestamp,
        endpoint: EndpointId,
    ): EndpointAvailability {
        val entry = entries[endpoint] ?: return EndpointAvailability.Down
        return when {
            entry.listed == PlatformState.GONE -> EndpointAvailability.Down
            entry.leaving.isNotEmpty() || entry.isDrained -> EndpointAvailability.Leaving
            entry.listed == PlatformState.LIVE || entry.hasAnswered -> EndpointAvailability.Serving(weight(now, entry))
            else -> EndpointAvailability.Down
        }
    }

    /** Returns the sources that report [endpoint] as leaving, for the status that operators see. */
    public fun leavingSources(endpoint: EndpointId): Set<LeavingSource> {
        val entry = entries[endpoint] ?: return emptySet()
        return if (entry.isDrained) entry.leaving + LeavingSource.OPERATOR else entry.leaving.toSet()
    }

    private fun updateFromList(
        now: Timestamp,
        item: PlatformEntry,
        isFirstList: Boolean,
    ) {
        val entry = entries.getOrPut(item.endpoint) { Entry(now) }
        val replaced = entry.listed != null && item.incarnation != entry.listedIncarnation
        val returned = entry.listed == PlatformState.GONE && item.state != PlatformState.GONE
        if (replaced || returned) startIncarnation(now, entry)
        entry.listedIncarnation = item.incarnation
        if (isFirstList) entry.joinedAt = null
        if (item.state == PlatformState.GONE) return markGone(now, entry)
        entry.listed = item.state
        entry.goneAt = null
        if (item.state == PlatformState.LEAVING) entry.leaving += LeavingSource.PLATFORM
    }

    private fun markGone(
        now: Timestamp,
        entry: Entry,
    ) {
        if (entry.listed != PlatformState.GONE) entry.goneAt = now
        entry.listed = PlatformState.GONE
        entry.hasAnswered = false
    }

    private fun startIncarnation(
        now: Timestamp,
        entry: Entry,
    ) {
        entry.leaving.clear()
        entry.hasAnswered = false
        entry.joinedAt = now
    }

    private fun weight(
        now: Timestamp,
        entry: Entry,
    ): Double {
        val joinedAt = entry.joinedAt ?: return 1.0
        val fraction = (now - joinedAt) / settings.slowStart
        return fraction.coerceIn(settings.initialWeight, 1.0)
    }

    private fun canForget(
        now: Timestamp,
        entry: Entry,
    ): Boolean {
        val since = entry.goneAt ?: return false
        return !entry.isDrained && now - since > settings.goneEntryTtl
    }
}
