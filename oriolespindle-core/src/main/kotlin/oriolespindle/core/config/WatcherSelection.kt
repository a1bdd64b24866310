package oriolespindle.core.config

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.membership.Member
import oriolespindle.core.membership.Rendezvous
import oriolespindle.core.time.Timestamp
import java.util.random.RandomGenerator
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** How many instances watch the platform, and how often the others compare their state with it. */
public data class WatcherSelectionSettings(
    /** Two, so that a zone still hears from the platform while one of them is paused or restarts. */
    public val watchersPerZone: Int = 2,
    /** At 330 instances this is about one list each second over the whole fleet. */
    public val listInterval: Duration = 5.minutes,
)

/** Where an instance takes configuration from. */
public enum class WatchRole {
    /** Watches the platform and passes changes on. */
    WATCH,

    /** Takes changes from peers and lists the platform rarely. */
    LISTEN,
}

/**
 * Decides which instances of a zone watch the platform.
 *
 * The instances with the highest rendezvous hashes watch, so that instances with the same view agree without a message,
 * and one that joins or leaves moves at most one watch. Different views only lead to one watch more or fewer for a
 * while; peers and the rare lists still deliver every change.
 */
public class WatcherSelection(
    private val self: InstanceId,
    private val zone: ZoneId,
    private val settings: WatcherSelectionSettings = WatcherSelectionSettings(),
    private val random: RandomGenerator,
) {
    private var nextListAt: Timestamp? = null

    /** Returns what this instance does, given the instances that it knows. */
    public fun role(members: List<Member>): WatchRole {
        val others = members.filter { it.record.zone == zone && it.reachable && it.id != self }.map { it.id }
        return if (RENDEZVOUS.rank(self, others) < settings.watchersPerZone) WatchRole.WATCH else WatchRole.LISTEN
    }

    /** Returns when a listening instance lists the platform next; the first time is random in one interval. */
    public fun nextListAt(now: Timestamp): Timestamp =
        nextListAt ?: (now + settings.listInterval * random.nextDouble()).also { nextListAt = it }

    /** Records that the platform was listed, whatever the result. */
    public fun onListSent(now: Timestamp) {
        nextListAt = now + settings.listInterval * (1 + JITTER * (random.nextDouble() - 0.5))
    }

    private companion object {
        val RENDEZVOUS = Rendezvous("watch")

        /** Spreads lists that would otherwise stay in step after an outage. */
        const val JITTER = 0.2
    }
}
