package oriolespindle.core.lease

import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WriteAction
import oriolespindle.core.config.WriteEvent
import oriolespindle.core.time.Timestamp

/** Something that a lease holder or candidate learns. */
public sealed interface LeaseEvent {
    /** The time of [LeaseHolder.nextTimer], or any later time, has come. */
    public data object Tick : LeaseEvent

    /** This instance may take the lease, after candidates of a lower [rank]; null when it may not. */
    public data class Candidate(
        public val rank: Int?,
    ) : LeaseEvent

    /** The answer to [LeaseAction.Read] or a watch event; null when the object does not exist. */
    public data class Observed(
        public val current: StoredObject?,
    ) : LeaseEvent

    /** What happened to a write that [LeaseAction.Perform] asked for. */
    public data class Write(
        public val event: WriteEvent,
    ) : LeaseEvent

    /** This process was paused, as another component found. */
    public data object Paused : LeaseEvent

    /** This instance shuts down and has no order in flight. */
    public data object Release : LeaseEvent
}

/** Why a lease is no longer held. */
public enum class LeaseLoss {
    /** No renewal landed in time. */
    EXPIRED,

    /** Another instance holds it. */
    TAKEN,

    /** The process was paused; a renewal that lands gives it back. */
    PAUSED,

    /** This instance gave it up. */
    RELEASED,
}

/** What a lease holder asks its caller to do. */
public sealed interface LeaseAction {
    /** Read the lease object and deliver [LeaseEvent.Observed]. */
    public data object Read : LeaseAction

    /** Write or read back the lease object and deliver [LeaseEvent.Write]. */
    public data class Perform(
        public val action: WriteAction,
    ) : LeaseAction

    /**
     * The lease is held until [validUntil] with [fence].
     *
     * From [quietFrom] no order of the former holder can still take effect at an endpoint that ignores the token.
     */
    public data class Held(
        public val fence: Long,
        public val quietFrom: Timestamp,
        public val validUntil: Timestamp,
    ) : LeaseAction

    /** The lease must not be used any more. */
    public data class Lost(
        public val reason: LeaseLoss,
    ) : LeaseAction
}
