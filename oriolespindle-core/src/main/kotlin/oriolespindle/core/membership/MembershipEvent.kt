package oriolespindle.core.membership

import oriolespindle.core.config.Revision
import oriolespindle.core.id.InstanceId
import kotlin.time.Duration

/** An input of [Membership]. */
public sealed interface MembershipEvent {
    /** The time returned by [Membership.nextTimer] has been reached; a later tick is allowed. */
    public data object Tick : MembershipEvent

    /** A heartbeat arrived; it is answered with [MembershipAction.SendAck]. */
    public data class PingReceived(
        public val gossip: Gossip,
    ) : MembershipEvent

    /** The answer to a heartbeat arrived. */
    public data class AckReceived(
        public val gossip: Gossip,
    ) : MembershipEvent

    /** The platform's list of instances at [version]; it may lag, and a list that is not newer is ignored. */
    public data class PlatformList(
        public val version: Long,
        public val entries: List<MemberRecord>,
    ) : MembershipEvent

    /** An instance was found through the settings or through a connection that it opened. */
    public data class Contact(
        public val record: MemberRecord,
    ) : MembershipEvent

    /** The configuration in force at this instance changed. */
    public data class Configured(
        public val revision: Revision,
        public val contentHash: Long,
    ) : MembershipEvent

    /** This instance starts to shut down. */
    public data object Leave : MembershipEvent
}

/** An output of [Membership] that its caller performs. */
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

    /** The state of an instance changed; [before] is null for a new instance. */
    public data class Changed(
        public val before: MemberRecord?,
        public val after: MemberRecord,
    ) : MembershipAction

    /** [instance] reported which configuration it has in force. */
    public data class Reported(
        public val instance: InstanceId,
        public val revision: Revision,
        public val contentHash: Long,
    ) : MembershipAction

    /** This process was paused for [duration]; what it held on behalf of others may no longer be valid. */
    public data class Paused(
        public val duration: Duration,
    ) : MembershipAction

    /** The platform reports this instance as terminated; its units and leases belong to others. */
    public data object DeclaredGone : MembershipAction
}
