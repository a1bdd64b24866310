package oriolespindle.core.lifecycle

import oriolespindle.core.id.EndpointId

/** The state of an endpoint according to the platform's list. */
public enum class PlatformState {
    LIVE,
    LEAVING,
    GONE,
}

/**
 * An endpoint in the platform's list.
 *
 * [incarnation] is any value that changes when an endpoint restarts under the same name, such as its address or start
 * time. If it is empty, an endpoint counts as restarted only after a list omitted it or reported it as gone.
 */
public data class PlatformEntry(
    public val endpoint: EndpointId,
    public val state: PlatformState,
    public val incarnation: String = "",
)
