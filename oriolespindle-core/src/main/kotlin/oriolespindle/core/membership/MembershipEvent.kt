package oriolespindle.core.membership

import oriolespindle.core.config.Revision
import oriolespindle.core.id.InstanceId
import kotlin.time.Duration

/** Something that membership learns. */
public sealed interface MembershipEvent {
    /** The time of [Membership.nextTimer], or any later time, has come. */
    public data object Tick : MembershipEvent

    /** A heartbeat arrived, which is answered. */
    public data class PingReceived(
        public val gossip: Gossip,
    ) : MembershipEvent

    /** The answer to a heartbeat arrived. */
    public data class AckReceived(
        public val gossip: Gossip,
    ) : MembershipEvent

    /** The platform's list of instances at [version]; it lags, and an older list is ignored. */
    public data class PlatformList(
        public val version: Long,
        public val entries: List<MemberRecord>,
    ) : MembershipEvent

    /** An instance whose address is known from the settings or from a connection it opened. */
    public data class Contact(
        public val record: MemberRecord,
    ) : MembershipEvent

    /** The configuration in force at this instance changed. */
    public data class Configured(
        public val revision: Revision,
        public val contentHash: Long,
    ) : MembershipEvent

    /** This instance begins to shut down. */
    public data object Leave : MembershipEvent
}

/** What membership asks its caller to do. */
public sealed interface MembershipAction {
    /** Send a heartbeat. */
    public data class SendPing(
        public val to: MemberRecord,
        public val gossip: Gossip,
    ) : MembershipAction

    /** Answer a heartbeat. */
    public data class SendAck(
        public val to: MemberRecord,
        public val gossip: Gossip,
    ) : MembershipAction

    /** The record of an instance changed in state; [before] is null for a new instance. */
    public data class Changed(
        public val before: MemberRecord?,
        public val after: MemberRecord,
    ) : MembershipAction

    /** Which configuration is in force at [instance], as it said itself. */
    public data class Reported(
        public val instance: InstanceId,
        public val revision: Revision,
        public val contentHash: Long,
    ) : MembershipAction

    /** This process was paused for [duration]; what it held for others is not to be trusted. */
    public data class Paused(
        public val duration: Duration,
    ) : MembershipAction

    /** The platform says that this instance is terminated; its units and leases belong to others. */
    public data object DeclaredGone : MembershipAction
}
