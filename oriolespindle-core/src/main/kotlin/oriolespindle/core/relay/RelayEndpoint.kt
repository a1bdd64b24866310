package oriolespindle.core.relay

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.LayerRange
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.ZoneId

/** What an endpoint last registered about itself. */
public data class RelayEndpoint(
    public val id: EndpointId,
    public val service: ServiceId,
    /** A numeric IP address, a colon and a port. */
    public val address: String,
    public val zone: ZoneId,
    /** Unix milliseconds of the process's start by its own clock; an id may be used again by a later process. */
    public val startedAt: Long,
    public val slots: Int,
    public val isLeaving: Boolean = false,
    /** The kind of accelerator; null for a plain service. */
    public val accelerator: String? = null,
    /** The layers that are loaded; null for a plain service and for an engine without layers. */
    public val layers: LayerRange? = null,
)
