package oriolespindle.core.config

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Settings of the configuration exchange between instances. */
public data class CacheExchangeSettings(
    /**
     * The number of peers in the own zone to which an instance forwards a change.
     *
     * With two peers in the own zone and one in another zone, a change reaches 330 instances in about six hops.
     */
    public val ownZoneTargets: Int = 2,
    /** The number of peers in other zones to which an instance forwards a change. */
    public val otherZoneTargets: Int = 1,
    /**
     * The largest number of changes that are forwarded at once.
     *
     * Larger sets, such as the result of the first list, reach the peers through the comparison of digests.
     */
    public val maxForwardedChanges: Int = 32,
    /**
     * The minimum time between two digests that an instance sends after heartbeats, and between two that it sends in
     * reply to digests.
     *
     * It bounds the traffic of an instance while many peers differ from it.
     */
    public val digestInterval: Duration = 500.milliseconds,
)

/** A message that [CacheExchange] asks its caller to send to peers. */
public sealed interface ExchangeAction {
    /** Send [items] to random peers, as many as [CacheExchangeSettings] says. */
    public data class Forward(
        public val items: List<StoredObject>,
    ) : ExchangeAction

    /** Send [items] to the peer [to], which may lack them. */
    public data class SendObjects(
        public val to: InstanceId,
        public val items: List<StoredObject>,
    ) : ExchangeAction

    /** Send [digest] to the peer [to], whose configuration differs. */
    public data class SendDigest(
        public val to: InstanceId,
        public val digest: CacheDigest,
    ) : ExchangeAction
}

/**
 * Keeps [cache] consistent with the caches of the peers by gossip and anti-entropy.
 *
 * Each instance forwards a change once, to a few peers. A peer that the change does not reach is detected by the
 * content hash in its heartbeats; the two instances then exchange digests and the objects that differ.
 */
public class CacheExchange(
    private val cache: ObjectCache,
    private val settings: CacheExchangeSettings = CacheExchangeSettings(),
) {
    private var lastRequestAt: Timestamp? = null
    private var lastReplyAt: Timestamp? = null

    /** Returns the messages that forward [changes] of the cache, whatever their source. */
    public fun onChanges(changes: List<ObjectChange>): List<ExchangeAction> {
        if (changes.isEmpty() || changes.size > settings.maxForwardedChanges) return emptyList()
        return listOf(ExchangeAction.Forward(changes.map { it.after }))
    }

    /** Compares the configuration that [peer] reports in a heartbeat, and requests an exchange if it differs. */
    public fun onHeartbeat(
        now: Timestamp,
        peer: InstanceId,
        revision: Revision,
        contentHash: Long,
    ): List<ExchangeAction> {
        cache.apply(now, ObjectEvent.PeerConfirmed(revision, contentHash))
        if (contentHash == cache.contentHash || !isDue(now, lastRequestAt)) return emptyList()
        lastRequestAt = now
        return listOf(ExchangeAction.SendDigest(peer, cache.digest()))
    }

    /**
     * Answers the digest of [peer] with the objects that it may lack.
     *
     * The answer includes the own digest if the configurations differ, since [peer] may have newer objects, but at most
     * once per [CacheExchangeSettings.digestInterval].
     */
    public fun onDigest(
        now: Timestamp,
        peer: InstanceId,
        digest: CacheDigest,
    ): List<ExchangeAction> {
        cache.apply(now, ObjectEvent.PeerDigest(digest))
        if (cache.matches(digest)) return emptyList()
        val items = cache.difference(digest)
        val objects = if (items.isEmpty()) emptyList() else listOf(ExchangeAction.SendObjects(peer, items))
        if (!isDue(now, lastReplyAt)) return objects
        lastReplyAt = now
        val objectsSuffice = digest.kinds.all { it.buckets.size == 1 } && items.isNotEmpty()
        return objects + ExchangeAction.SendDigest(peer, cache.digest(detailed = !objectsSuffice))
    }

    private fun isDue(
        now: Timestamp,
        last: Timestamp?,
    ): Boolean = last == null || now - last >= settings.digestInterval
}
