package oriolespindle.router.state

import oriolespindle.core.id.InstanceId
import oriolespindle.core.limit.TeamSlots
import oriolespindle.core.limit.UsageReport
import oriolespindle.core.time.Timestamp
import oriolespindle.router.peer.PeerIdentity
import oriolespindle.router.peer.PeerMessage
import oriolespindle.router.platform.PlatformInstanceList
import oriolespindle.router.platform.PlatformList
import oriolespindle.router.platform.PlatformObject
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.platform.WatchLine

/** What the state component handles. */
internal sealed interface StateMessage {
    data class Listed(
        val result: PlatformResult<PlatformList>,
    ) : StateMessage

    /** A line of the watch with number [watch]; a null [line] says that the watch has ended. */
    data class Watched(
        val watchId: Int,
        val line: WatchLine?,
    ) : StateMessage

    data class Instances(
        val result: PlatformResult<PlatformInstanceList>,
    ) : StateMessage

    /** The answer to a read of the allotment that was sent at [requestedAt]. */
    data class AllotmentRead(
        val result: PlatformResult<PlatformObject>,
        val requestedAt: Timestamp,
    ) : StateMessage

    data class Peer(
        val from: InstanceId,
        val message: PeerMessage,
    ) : StateMessage

    data class Connected(
        val peer: PeerIdentity,
    ) : StateMessage

    /** The contracts in force changed. */
    data class Contracts(
        val teams: List<TeamSlots>,
    ) : StateMessage

    /** What the limiter uses of its shares. */
    data class Used(
        val report: UsageReport,
    ) : StateMessage

    /** Work for this component's thread. */
    class Run(
        val block: () -> Unit,
    ) : StateMessage

    data object Tick : StateMessage
}
