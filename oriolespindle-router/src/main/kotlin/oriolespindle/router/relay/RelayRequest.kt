package oriolespindle.router.relay

import oriolespindle.core.id.RequestId
import oriolespindle.core.id.TeamId
import oriolespindle.core.relay.RelayService
import oriolespindle.core.relay.Route
import oriolespindle.core.time.Timestamp
import oriolespindle.router.http.ServerExchange

/** One request of a caller that the configuration allows. */
internal class RelayRequest(
    val exchange: ServerExchange,
    val id: RequestId,
    val route: Route,
    val service: RelayService,
    val team: TeamId?,
    val dropKey: Boolean,
    val arrivedAt: Timestamp,
    /** When the caller's deadline or the route's timeout passes. */
    val expiry: Timestamp,
)
