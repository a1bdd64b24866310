package oriolespindle.core.config

import oriolespindle.core.id.InstanceId
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How configuration is passed between instances. */
public data class CacheExchangeSettings(
    /** With two own and one other zone, a change reaches 330 instances in about six steps. */
    public val ownZoneTargets: Int = 2,
    public val otherZoneTargets: Int = 1,
    /** More changes at once, as after a first list, are left to the comparison of digests. */
    public val maxForwardedChanges: Int = 32,
    /** Limits the digests that one instance sends while many peers differ from it. */
    public val digestInterval: Duration = 500.milliseconds,
)

/** What to send to peers. */
public sealed interface ExchangeAction {
    /** Send [items] to a few random peers, chosen as the settings say. */
    public data class Forward(
        public val items: List<StoredObject>,
    ) : ExchangeAction

    /** Send [items] to the one peer that may lack them. */
    public data class SendObjects(
        public val to: InstanceId,
        public val items: List<StoredObject>,
    ) : ExchangeAction

    /** Send [digest] to a peer whose configuration differs. */
    public data class SendDigest(
        public val to: InstanceId,
        public val digest: CacheDigest,
    ) : ExchangeAction
}

/**
 * Keeps [cache] equal to the caches of the peers.
 *
 * Each change is passed on once to a few peers. Whoever is missed is found by the content hash in heartbeats, and then
 * digests and the differing objects are exchanged.
 */
public class CacheExchange(
    private val cache: ObjectCache,
    private val settings: CacheExchangeSettings = CacheExchangeSettings(),
) {
    private var lastRequestAt: Timestamp? = null
    private var lastReplyAt: Timestamp? = null

    /** Returns what to pass on after [changes] of the cache, from whatever source they came. */
    public fun onChanges(changes: List<ObjectChange>): List<ExchangeAction> {
        if (changes.isEmpty() || changes.size > settings.maxForwardedChanges) return emptyList()
        return listOf(ExchangeAction.Forward(changes.map { it.after }))
    }

    /** Handles the description of a peer's configuration in a heartbeat. */
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

    /** Handles the digest of a peer: the peer gets what it may lack, and the own digest when it may know more. */
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
