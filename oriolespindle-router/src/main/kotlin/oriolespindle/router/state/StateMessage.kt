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

/** A message that [StateComponent] handles on its thread. */
internal sealed interface StateMessage {
    data class Listed(
        val result: PlatformResult<PlatformList>,
    ) : StateMessage

    /** A line of the watch [watchId], or the end of that watch if [line] is null. */
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

    /** The contracts in force have changed. */
    data class Contracts(
        val teams: List<TeamSlots>,
    ) : StateMessage

    /** The limiter's report of how much of its shares it uses. */
    data class Used(
        val report: UsageReport,
    ) : StateMessage

    /** A block to run on the component's thread. */
    class Run(
        val block: () -> Unit,
    ) : StateMessage

    data object Tick : StateMessage
}
