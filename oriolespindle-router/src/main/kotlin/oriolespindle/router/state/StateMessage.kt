package oriolespindle.router.state

import oriolespindle.router.platform.PlatformInstanceList
import oriolespindle.router.platform.PlatformList
import oriolespindle.router.platform.PlatformResult
import oriolespindle.router.platform.WatchLine

/** What the state component handles. */
internal sealed interface StateMessage {
    data class Listed(
        val result: PlatformResult<PlatformList>,
    ) : StateMessage

    /** A line of the watch with number [watch]; a null [line] says that the watch has ended. */
    data class Watched(
        val watch: Int,
        val line: WatchLine?,
    ) : StateMessage

    data class Instances(
        val result: PlatformResult<PlatformInstanceList>,
    ) : StateMessage

    /** Work for this component's thread. */
    class Run(
        val block: () -> Unit,
    ) : StateMessage

    data object Tick : StateMessage
}
