package oriolespindle.core.limit

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.time.Timestamp

/** Another instance that can be asked for units. */
public data class SharePeer(
    public val instance: InstanceId,
    public val zone: ZoneId,
)

/** The concurrency limit in the contract of a team. */
public data class TeamSlots(
    public val team: TeamId,
    public val concurrency: Int,
)

/** An input of [ShareLedger]. */
public sealed interface ShareEvent {
    /** Time has passed. Expected about every 100 ms, because a gap of more than 3 s counts as a pause. */
    public data object Tick : ShareEvent

    /** The contracts in force have changed; [teams] is the complete list. */
    public data class Contracts(
        public val teams: List<TeamSlots>,
    ) : ShareEvent

    /** The reachable instances have changed; [peers] is the complete list. */
    public data class Peers(
        public val peers: List<SharePeer>,
    ) : ShareEvent

    /**
     * An allotment has arrived. It is ignored if it is older than the known one.
     *
     * [requestedAt] is when the read was sent to the platform, or null if the object came from a watch or a peer.
     */
    public data class AllotmentRead(
        public val allotment: Allotment,
        public val requestedAt: Timestamp? = null,
    ) : ShareEvent

    /** The platform has answered that no allotment exists. */
    public data object AllotmentMissing : ShareEvent

    /** The platform's list of router instances has arrived; the instances in [gone] have terminated. */
    public data class PlatformList(
        public val live: List<InstanceId>,
        public val gone: List<InstanceId>,
    ) : ShareEvent

    /** The limiter has reported its usage. */
    public data class Usage(
        public val report: UsageReport,
    ) : ShareEvent

    /** A message from another instance has arrived. */
    public data class Received(
        public val from: InstanceId,
        public val message: ShareMessage,
    ) : ShareEvent
}

/** An output of [ShareLedger]. */
public sealed interface ShareAction {
    /** Send [message] to the instance [to]; it may be lost. */
    public data class Send(
        public val to: InstanceId,
        public val message: ShareMessage,
    ) : ShareAction

    /** Pass [update] to the limiter, which answers with a usage report. */
    public data class Apply(
        public val update: ShareUpdate,
    ) : ShareAction

    /** Read the allotment from the platform. */
    public data object ReadAllotment : ShareAction

    /**
     * Write [next] to the platform if the stored allotment still has [expectedGeneration]; null means that none exists.
     *
     * A write that fails or whose answer is lost is not retried; the ledger proposes again if needed.
     */
    public data class Propose(
        public val next: Allotment,
        public val expectedGeneration: Long?,
    ) : ShareAction

    /** This instance was removed and has to restart under a new instance id. */
    public data object Restart : ShareAction
}
