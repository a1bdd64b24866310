package oriolespindle.core.lease

import oriolespindle.core.config.StoredObject
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a candidate has read of the lease's object, when it reads again, and from when it may take the lease.
 *
 * No clock is shared with the holder, so times count from when this instance first saw the version that it sees now.
 */
internal class LeaseObservation(
    private val settings: LeaseSettings,
) {
    private var versionSeenAt: Timestamp? = null

    /** When the object was read last, whether or not it had changed. */
    private var readAt: Timestamp? = null

    /** The object as it was read last; null when it does not exist or has not been read. */
    var current: StoredObject? = null
        private set

    /** When the object is to be read again; null when it need not be read. */
    var nextReadAt: Timestamp? = null

    /** The instances that are candidates for the lease; together they read it about as often as one alone would. */
    var candidateCount: Int = 1

    /** Takes the object as read [now], null when it does not exist, by a candidate that is [rank]th in line. */
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
        // The first pause differs from instance to instance, so that those that start together do not read together.
        val scheduled = now + if (isFirst) readInterval() * initialPhase else readInterval()
        nextReadAt = listOfNotNull(scheduled, acquirableAt(rank)?.takeIf { it > now }).min()
    }

    /** Forgets the object, which this instance holds now, and reads it no more. */
    fun clear() {
        current = null
        versionSeenAt = null
        nextReadAt = null
    }

    fun isFresh(now: Timestamp): Boolean = readAt?.let { now - it < settings.pollInterval } ?: false

    /**
     * Returns from when a candidate that is [rank]th in line may take the lease, or null when it may not or the object
     * has not been read.
     *
     * A lease that was released is free at once, and so is one that this instance held last: its object has not changed
     * since, and an earlier process of this instance has ended. One that cannot be read counts with the own duration,
     * because its holder may still act. One that does not exist is free at once; whoever creates it has to wait before
     * it acts, since a holder of a deleted object may still act.
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

    /** Reading again before an unchanged lease may be taken cannot lead to taking it. */
    private fun readInterval(): Duration =
        minOf(settings.pollInterval * candidateCount, maxOf(settings.pollInterval, settings.duration + settings.margin))

    private val initialPhase = Math.floorMod(settings.self.hashCode(), PHASE_COUNT) / PHASE_COUNT.toDouble()

    private companion object {
        /** Parts of an interval over which the first reads are spread. */
        const val PHASE_COUNT = 64
    }
}
