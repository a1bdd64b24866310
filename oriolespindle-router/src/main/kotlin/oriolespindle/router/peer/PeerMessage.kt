package oriolespindle.router.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import oriolespindle.core.config.CacheDigest
import oriolespindle.core.config.Revision
import oriolespindle.core.config.StoredObject
import oriolespindle.core.crash.CrashEvidence
import oriolespindle.core.fairness.DemandReport
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.limit.ShareMessage
import oriolespindle.core.membership.Gossip

/**
 * A message between two instances.
 *
 * @property isGossip whether a later message supersedes this one, so that it may be dropped when a peer is slow.
 */
@Serializable
public sealed class PeerMessage {
    public open val isGossip: Boolean get() = false

    /** A message of the handshake; [proof] is empty in the first message of the accepting side. */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        public val identity: PeerIdentity,
        public val nonce: HandshakeBytes,
        public val proof: HandshakeBytes = HandshakeBytes.EMPTY,
    ) : PeerMessage()

    @Serializable
    @SerialName("ping")
    public data class Ping(
        public val content: Gossip,
    ) : PeerMessage() {
        override val isGossip: Boolean get() = true
    }

    @Serializable
    @SerialName("ack")
    public data class Ack(
        public val content: Gossip,
    ) : PeerMessage() {
        override val isGossip: Boolean get() = true
    }

    @Serializable
    @SerialName("digest")
    public data class Digest(
        public val content: CacheDigest,
    ) : PeerMessage() {
        override val isGossip: Boolean get() = true
    }

    /** Objects that the receiver may lack; see [split] for lists that exceed one frame. */
    @Serializable
    @SerialName("objects")
    public data class Objects(
        public val items: List<StoredObject>,
    ) : PeerMessage() {
        public companion object {
            /** Half a frame, so that CBOR keys and the platform's largest value (1 MB) still fit. */
            private const val MAX_BATCH_BYTES = 512 * 1024

            /** Splits [items], in order, into messages that fit in one frame each. */
            public fun split(items: List<StoredObject>): List<Objects> {
                val batches = ArrayList<MutableList<StoredObject>>()
                var bytes = 0
                for (item in items) {
                    val size = item.key.name.length + (item.value?.toByteArray()?.size ?: 0)
                    if (batches.isEmpty() || bytes + size > MAX_BATCH_BYTES) {
                        batches += ArrayList<StoredObject>()
                        bytes = 0
                    }
                    batches.last() += item
                    bytes += size
                }
                return batches.map { Objects(it) }
            }
        }
    }

    /** A message between the ledgers that move units of limits; the ledgers resend lost messages themselves. */
    @Serializable
    @SerialName("share")
    public data class Share(
        public val content: ShareMessage,
    ) : PeerMessage()

    /** Evidence of which requests were in flight when endpoints crashed. */
    @Serializable
    @SerialName("evidence")
    public data class Evidence(
        public val items: List<CrashEvidence>,
    ) : PeerMessage()

    /** The demand of each team at the sender. */
    @Serializable
    @SerialName("demand")
    public data class Demand(
        public val content: DemandReport,
    ) : PeerMessage() {
        override val isGossip: Boolean get() = true
    }
}

/** The identity of an instance; [address] is where it accepts connections. */
@Serializable
public data class PeerIdentity(
    public val instance: InstanceId,
    public val incarnation: Long,
    public val zone: ZoneId,
    public val address: String,
)
