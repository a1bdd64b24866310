package oriolespindle.core.relay

import oriolespindle.core.config.Revision
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId

/** The latest registration of an endpoint. */
public data class RelayEndpoint(
    public val id: EndpointId,
    public val service: ServiceId,
    /** A numeric IP address and a port, separated by a colon. */
    public val address: String,
    public val zone: ZoneId,
    /** The start of the process in Unix milliseconds by its own clock; tells apart processes that use the same id. */
    public val startedAt: Long,
    public val slots: Int,
    public val isLeaving: Boolean = false,
    /** The kind of accelerator; null for a plain service. */
    public val accelerator: String? = null,
    /** The layers that the engine has loaded; null for a plain service and for an engine without layers. */
    public val layers: LayerRange? = null,
    /** The revision of the store at which this registration was written. */
    public val revision: Revision = Revision.NONE,
)
