package oriolespindle.core.limit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A number of units of one limit; what it counts depends on the message. */
@Serializable
public data class KeyCount(
    public val key: LimitKey,
    public val count: Long,
)

/** A request for [units] of one limit by an instance that holds [holding] and could use [demand] units. */
@Serializable
public data class ShareWant(
    public val key: LimitKey,
    public val units: Int,
    public val holding: Int,
    public val demand: Int,
)

/** The status of an instance in the allotment, as known to another instance. */
@Serializable
public enum class Standing {
    MEMBER,
    UNKNOWN,
    REMOVED,
}

/** A message between the share ledgers of two instances. It may be lost, duplicated or delayed. */
@Serializable
public sealed interface ShareMessage {
    /** The total of the units that the sender has given to the receiver, resent until acknowledged. */
    @Serializable
    @SerialName("counters")
    public data class Counters(
        public val given: List<KeyCount>,
    ) : ShareMessage

    /** Acknowledges the counters that the sender has received. */
    @Serializable
    @SerialName("counters-ack")
    public data class CountersAck(
        public val received: List<KeyCount>,
    ) : ShareMessage

    /** Requests the units that the sender lacks. */
    @Serializable
    @SerialName("want")
    public data class Want(
        public val wants: List<ShareWant>,
    ) : ShareMessage

    /** Asks whether the sender may still use its units; [sentAt] is a reading of the sender's clock. */
    @Serializable
    @SerialName("probe")
    public data class Probe(
        public val sentAt: Long,
    ) : ShareMessage

    /** The answer to the probe that was sent at [sentAt], from the allotment of [generation]. */
    @Serializable
    @SerialName("probe-answer")
    public data class ProbeAnswer(
        public val sentAt: Long,
        public val generation: Long,
        public val standing: Standing,
    ) : ShareMessage

    /**
     * Reports to the successor the units that the sender has given to the instances removed up to [generation], minus
     * those it has received from them; resent until acknowledged.
     */
    @Serializable
    @SerialName("settled")
    public data class Settled(
        public val generation: Long,
        public val net: List<KeyCount>,
    ) : ShareMessage

    /** Acknowledges [Settled]. */
    @Serializable
    @SerialName("settled-ack")
    public data class SettledAck(
        public val generation: Long,
    ) : ShareMessage
}
