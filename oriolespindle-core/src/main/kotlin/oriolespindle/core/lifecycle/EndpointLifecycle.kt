package oriolespindle.core.lifecycle

import oriolespindle.core.chain.EndpointAvailability
import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import java.util.EnumSet

/**
 * Combines what the platform's list, the endpoint itself and the operators say about endpoints.
 *
 * Each source may lag behind or contradict the others, and leaving takes precedence. Once the list or the endpoint has
 * said that it leaves, it leaves for the rest of its incarnation, whatever they say later. An operator's drain lasts
 * until a newer version withdraws it. A list that is not newer than the last one is ignored.
 *
 * The endpoints of the first list are in use already and have full weight; later ones start slowly.
 */
public class EndpointLifecycle(
    private val settings: LifecycleSettings = LifecycleSettings(),
) {
    private class Entry(
        var joinedAt: Timestamp?,
    ) {
        /** The list and the endpoint name incarnations independently of each other. */
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

    /** The endpoints that any source has named and that are not forgotten. */
    public val endpoints: Set<EndpointId> get() = entries.keys.toSet()

    /** Takes the platform's whole list at [version]; an endpoint that a newer list no longer contains is gone. */
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
     * Takes the endpoint's own answer; [incarnation] is its start identifier when it reports one.
     *
     * A late answer of an earlier incarnation is ignored. Without an identifier, an answer that arrives after the list
     * had the endpoint as gone may be such a late one, and is ignored until the list has the endpoint again.
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

    /** Takes an operator's drain, or its withdrawal when [draining] is false; the highest [version] is in force. */
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

    /** Returns whether [endpoint] may receive new work; one that no source has reported as running is down. */
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

    /** Returns who has said that [endpoint] leaves, for the status that operators see. */
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
