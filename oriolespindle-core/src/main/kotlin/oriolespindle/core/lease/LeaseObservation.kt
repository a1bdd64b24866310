package oriolespindle.core.lease

import oriolespindle.core.config.StoredObject
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks the lease object as a candidate reads it, when to read it next and when the lease may be acquired.
 *
 * The instances share no clock, so times are counted from when this instance first saw the current version.
 */
internal class LeaseObservation(
    private val settings: LeaseSettings,
) {
    private var versionSeenAt: Timestamp? = null

    /** The time of the last read, whether or not the object had changed. */
    private var readAt: Timestamp? = null

    /** The object as last read; null if it does not exist or has not been read. */
    var current: StoredObject? = null
        private set

    /** The time of the next read; null if none is needed. */
    var nextReadAt: Timestamp? = null

    /** The number of candidates for the lease; all together read it about as often as a single one would. */
    var candidateCount: Int = 1

    /** Records the object as read [now], null if it does not exist, by a candidate of rank [rank]. */
    fun onRead(
        now: Timestamp,
        live: StoredObject?,
        rank: Int?,
    ) {
        val isFirst = readAt == null
        readAt = now
        if (versionSeenAt == null || live?.version != current?.version) {
            current = live
            versionSeenAt = now
        }
        // The first interval differs between instances, so that those that start together do not read in step.
        val scheduled = now + if (isFirst) readInterval() * initialPhase else readInterval()
        nextReadAt = listOfNotNull(scheduled, acquirableAt(rank)?.takeIf { it > now }).min()
    }

    /** Clears the observed object and stops reading, because this instance now holds the lease. */
    fun clear() {
        current = null
        versionSeenAt = null
        nextReadAt = null
    }

    fun isFresh(now: Timestamp): Boolean = readAt?.let { now - it < settings.pollInterval } ?: false

    /**
     * Returns the time from which a candidate of rank [rank] may acquire the lease, or null if [rank] is null or the
     * object has not been read.
     *
     * A released lease is available at once, apart from the delay of the rank. So is a lease that this instance held
     * last, without that delay: the object has not changed since, and the earlier process of this instance has ended. A
     * lease whose value is invalid is assumed to last for the own duration, because its holder may still act. A missing
     * lease is available like a released one, but the instance that creates it has to wait before it acts, since the
     * holder of a deleted object may still act.
     */
    fun acquirableAt(rank: Int?): Timestamp? {
        val since = versionSeenAt ?: return null
        val rankOffset = settings.rankDelay * (rank ?: return null)
        val seen = current ?: return since + rankOffset
        val value = seen.value?.let(LeaseValue::parseOrNull)
        if (value != null && value.holder == settings.self) return since
        if (value != null && value.holder == null) return since + rankOffset
        val duration = value?.durationMillis?.milliseconds ?: settings.duration
        return since + duration + settings.margin + rankOffset
    }

    /** The interval is bounded by the time after which an unchanged lease may be acquired. */
    private fun readInterval(): Duration =
        minOf(settings.pollInterval * candidateCount, maxOf(settings.pollInterval, settings.duration + settings.margin))

    private val initialPhase = Math.floorMod(settings.self.hashCode(), PHASE_COUNT) / PHASE_COUNT.toDouble()

    private companion object {
        /** The number of parts of an interval over which the first reads are spread. */
        const val PHASE_COUNT = 64
    }
}
