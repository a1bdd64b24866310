package oriolespindle.core.lease

import oriolespindle.core.config.StoredObject
import oriolespindle.core.config.WriteAction
import oriolespindle.core.config.WriteEvent
import oriolespindle.core.time.Timestamp

/** An event that [LeaseHolder] handles. */
public sealed interface LeaseEvent {
    /** The time returned by [LeaseHolder.nextTimer] has been reached or passed. */
    public data object Tick : LeaseEvent

    /** This instance may acquire the lease, after candidates of a lower [rank]; it may not if [rank] is null. */
    public data class Candidate(
        public val rank: Int?,
    ) : LeaseEvent

    /** The lease object as read for [LeaseAction.Read] or delivered by a watch; null if it does not exist. */
    public data class Observed(
        public val current: StoredObject?,
    ) : LeaseEvent

    /** An event of a write that [LeaseAction.Perform] requested. */
    public data class Write(
        public val event: WriteEvent,
    ) : LeaseEvent

    /** Another component detected that this process was paused. */
    public data object Paused : LeaseEvent

    /** This instance is shutting down and has no order in flight. */
    public data object Release : LeaseEvent
}

/** Why a lease is no longer held. */
public enum class LeaseLoss {
    /** No renewal was applied in time. */
    EXPIRED,

    /** Another instance holds the lease. */
    TAKEN,

    /** The process was paused; a successful renewal restores the lease. */
    PAUSED,

    /** This instance released the lease. */
    RELEASED,
}

/** An action that [LeaseHolder] asks its caller to perform. */
public sealed interface LeaseAction {
    /** Read the lease object and deliver [LeaseEvent.Observed]. */
    public data object Read : LeaseAction

    /** Write or read back the lease object and deliver [LeaseEvent.Write]. */
    public data class Perform(
        public val action: WriteAction,
    ) : LeaseAction

    /**
     * The lease is held until [validUntil] with the fencing token [fence].
     *
     * From [quietFrom], orders of the former holder can no longer take effect at endpoints that ignore the token.
     */
    public data class Held(
        public val fence: Long,
        public val quietFrom: Timestamp,
        public val validUntil: Timestamp,
    ) : LeaseAction

    /** The lease must no longer be used. */
    public data class Lost(
        public val reason: LeaseLoss,
    ) : LeaseAction
}
