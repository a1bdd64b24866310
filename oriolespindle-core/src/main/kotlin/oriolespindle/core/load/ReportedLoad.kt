package oriolespindle.core.load

import oriolespindle.core.id.EndpointId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** The last loads that instances or zones have reported, until they expire; [add] adds a value to a sum of them. */
internal class ReportedLoad<K : Any>(
    private val add: (EndpointId, Long) -> Unit,
) {
    private class Entry(
        val values: Map<EndpointId, Long>,
        val receivedAt: Timestamp,
        val validUntil: Timestamp,
    )

    private val entries = HashMap<K, Entry>()

    /** The instances or zones with a valid report. */
    val sources: Set<K> get() = entries.keys

    /** The arrival of the oldest valid report; null if there is none. */
    val oldest: Timestamp? get() = entries.values.minOfOrNull { it.receivedAt }

    /** Replaces the report of [source]. */
    fun put(
        now: Timestamp,
        source: K,
        values: Map<EndpointId, Long>,
        validity: Duration,
    ) {
        remove(source)
        entries[source] = Entry(values, now, now + validity)
        values.forEach { (endpoint, value) -> add(endpoint, value) }
    }

    /** Removes reports that are no longer valid. */
    fun removeExpired(now: Timestamp): Unit = entries.filterValues { now > it.validUntil }.keys.forEach(::remove)

    /** Removes all reports. */
    fun clear(): Unit = entries.keys.toList().forEach(::remove)

    /** Returns the sources that have reported within [period]. */
    fun heardWithin(
        now: Timestamp,
        period: Duration,
    ): Set<K> = entries.filterValues { now - it.receivedAt <= period }.keys

    private fun remove(source: K) {
        entries.remove(source)?.values?.forEach { (endpoint, value) -> add(endpoint, -value) }
    }
}
