package oriolespindle.core.config

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.membership.Member
import oriolespindle.core.membership.Rendezvous
import oriolespindle.core.time.Timestamp
import java.util.random.RandomGenerator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Settings of how many instances watch the platform and how often the others list it. */
public data class WatcherSelectionSettings(
    /** The number of watchers in each zone; with two, a zone gets changes while one is paused or restarts. */
    public val watchersPerZone: Int = 2,
    /** The interval between lists of an instance that does not watch; 330 instances send about one list a second. */
    public val listInterval: Duration = 5.minutes,
)

/** The source from which an instance gets configuration changes. */
public enum class WatchRole {
    /** The instance watches the platform and forwards changes to its peers. */
    WATCH,

    /** The instance receives changes from its peers and lists the platform at long intervals. */
    LISTEN,
}

/**
 * Selects the instances of a zone that watch the platform.
 *
 * The instances with the highest rendezvous hashes watch. Instances with the same view of the members agree without
 * exchanging messages, and a member that joins or leaves moves at most one watch. While views differ, there may be one
 * watch more or fewer; peers and periodic lists still deliver every change.
 */
public class WatcherSelection(
    private val self: InstanceId,
    private val zone: ZoneId,
    private val settings: WatcherSelectionSettings = WatcherSelectionSettings(),
    private val random: RandomGenerator,
) {
    private var nextListAt: Timestamp? = null

    /** Returns the role of this instance, given the members that it knows. */
    public fun role(members: List<Member>): WatchRole {
        val others = members.filter { it.record.zone == zone && it.reachable && it.id != self }.map { it.id }
        return if (RENDEZVOUS.rank(self, others) < settings.watchersPerZone) WatchRole.WATCH else WatchRole.LISTEN
    }

    /** Returns the time of the next list of an instance that does not watch, at first random within one interval. */
    public fun nextListAt(now: Timestamp): Timestamp =
        nextListAt ?: (now + settings.listInterval * random.nextDouble()).also { nextListAt = it }

    /** Schedules the next list after one was sent, whatever its result. */
    public fun onListSent(now: Timestamp) {
        nextListAt = now + settings.listInterval * (1 + JITTER * (random.nextDouble() - 0.5))
    }

    private companion object {
        val RENDEZVOUS = Rendezvous("watch")

        /** The fraction of the interval over which lists are spread; without it they stay in step after an outage. */
        const val JITTER = 0.2
    }
}
