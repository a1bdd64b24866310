package oriolespindle.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp

/**
 * The state of an instance as its peers see it.
 *
 * Of two records with the same incarnation, the one with the later state in this order takes precedence. The serial
 * names are one letter because records are the largest part of the traffic between instances.
 */
@Serializable
public enum class MemberState {
    /** Answers heartbeats. */
    @SerialName("a")
    ALIVE,

    /** Completes its work and accepts no new work. */
    @SerialName("l")
    LEAVING,

    /** Missed heartbeats and has not yet refuted the suspicion. */
    @SerialName("s")
    SUSPECT,

    /** Did not refute the suspicion in time; it may be separated by a partition and can return. */
    @SerialName("d")
    DEAD,

    /** Terminated according to the platform; it never returns. */
    @SerialName("g")
    GONE,
}

/**
 * The identity and state of an instance, as exchanged between instances.
 *
 * Only the instance itself increments its [incarnation]: to refute a suspicion, to leave, or after a pause. It starts
 * at 0, the incarnation of entries in the platform's list.
 */
@Serializable
public data class MemberRecord(
    @SerialName("i")
    public val id: InstanceId,
    @SerialName("z")
    public val zone: ZoneId,
    @SerialName("a")
    public val address: String,
    @SerialName("n")
    public val incarnation: Long = 0,
    @SerialName("s")
    public val state: MemberState = MemberState.ALIVE,
) {
    /** Returns whether this record replaces [other], a record of the same instance. */
    public fun supersedes(other: MemberRecord): Boolean =
        when {
            other.state == MemberState.GONE -> false
            state == MemberState.GONE -> true
            incarnation != other.incarnation -> incarnation > other.incarnation
            else -> state > other.state
        }
}

/** A [record] and the time of the last direct message from its instance; [lastHeard] is null if there was none. */
public data class Member(
    public val record: MemberRecord,
    public val lastHeard: Timestamp?,
) {
    /** The instance's name. */
    public val id: InstanceId get() = record.id

    /** Whether the instance is expected to answer. */
    public val reachable: Boolean get() = record.state <= MemberState.LEAVING
}
