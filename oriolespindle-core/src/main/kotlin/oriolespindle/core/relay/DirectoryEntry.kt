package oriolespindle.core.relay

import oriolespindle.core.config.Revision
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/** What [EndpointDirectory] knows of one process of an endpoint. */
internal class DirectoryEntry(
    var endpoint: RelayEndpoint,
    settings: DirectorySettings,
    /** The first known revision of this process's registration; null if a restored store had it already. */
    val registeredAt: Revision? = endpoint.revision,
) {
    var lapsedUntil: Timestamp? = null

    /** The process that a restored store has under this id; it is used if this one is not registered again. */
    var restored: RelayEndpoint? = null
    val failureBackoff = ExponentialBackoff(settings.initialBackoff, settings.maxFailureBackoff)
    val refusalBackoff = ExponentialBackoff(settings.initialBackoff, settings.maxRefusalBackoff)
    var refusedAt: Timestamp? = null

    /** When the pause ends that the endpoint has asked for; null if it has asked for none. */
    var pausedUntil: Timestamp? = null

    /** Whether nothing listens at the endpoint's address any more. */
    var hasEnded = false

    fun isExpired(now: Timestamp): Boolean = lapsedUntil?.let { now >= it } ?: false

    fun isPaused(now: Timestamp): Boolean = pausedUntil?.let { now < it } ?: false

    fun isBackingOff(now: Timestamp): Boolean = failureBackoff.isActive(now) || refusalBackoff.isActive(now)

    /** The time until neither a pause nor a backoff is active. */
    fun availableIn(now: Timestamp): Duration {
        val pause = pausedUntil?.let { it - now } ?: Duration.ZERO
        return maxOf(pause, failureBackoff.remaining(now), refusalBackoff.remaining(now))
    }
}
