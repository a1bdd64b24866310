package oriolespindle.core.lifecycle

import oriolespindle.core.id.EndpointId

/** What the platform's list says about an endpoint. */
public enum class PlatformState {
    LIVE,
    LEAVING,
    GONE,
}

/**
 * One endpoint in the platform's list.
 *
 * [incarnation] is anything that differs between two lives of an endpoint of the same name, such as its address or
 * start time. When it is empty, an endpoint counts as new only after a list did not contain it or had it as gone.
 */
public data class PlatformEntry(
    public val endpoint: EndpointId,
    public val state: PlatformState,
    public val incarnation: String = "",
)
