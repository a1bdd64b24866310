package oriolespindle.router.relay

import oriolespindle.core.admission.Priority
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.relay.RelayService
import oriolespindle.core.relay.Route
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.ServerExchange

/** A request of a caller that the configuration allows. */
internal class RelayRequest(
    val exchange: ServerExchange,
    val id: RequestId,
    val route: Route,
    val service: RelayService,
    val team: TeamId?,
    val dropKey: Boolean,
    val arrivedAt: Timestamp,
    /** The caller's deadline or the end of the route's timeout, whichever is earlier. */
    val expiry: Timestamp,
    val traits: RequestTraits,
    /** The urgency of the request; null if all requests of its service have the same. */
    val priority: Priority? = null,
)
