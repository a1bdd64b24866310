package oriolespindle.core.relay

import oriolespindle.core.admission.Priority
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import oriolespindle.core.placement.ModelLayout
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A service that routes lead to; [model] describes the model of its engines and is null for a plain service. */
public data class RelayService(
    public val id: ServiceId,
    /** The most connections that one endpoint accepts from all callers together. */
    public val maxConnections: Int,
    public val model: ModelLayout? = null,
)

/** Limits on the size of a request's header and body, and the timeouts for its header and for idle connections. */
public data class CallerLimits(
    public val maxHeaderBytes: Int = 16_384,
    public val maxBodyBytes: Int = 4_194_304,
    public val headerTimeout: Duration = 3.seconds,
    public val idleTimeout: Duration = 15.seconds,
)

/** One complete version of the operators' configuration for relayed requests. */
public class RelayConfiguration(
    public val version: Long,
    routes: List<Route>,
    services: List<RelayService>,
    public val limits: CallerLimits = CallerLimits(),
    /** The team of each key; null when requests carry no keys. */
    private val teamsByKey: Map<String, TeamId>? = null,
    /** The priorities of the teams that have one, which go before those of routes. */
    private val teamPriorities: Map<TeamId, Priority> = emptyMap(),
) {
    private val routeTable = RouteTable(routes)
    private val routesByService =
        routes.flatMap { route -> route.targets.map { it.service to route } }.groupBy({ it.first }, { it.second })
    private val servicesById = services.associateBy { it.id }

    /** The services with a model, whose layers are placed on engines. */
    public val modelServices: List<RelayService> = services.filter { it.model != null }

    /** The names of all routes. */
    public val routeNames: Set<String> = routes.mapTo(HashSet()) { it.name }

    /** The ids of all services. */
    public val serviceIds: Set<ServiceId> get() = servicesById.keys

    /** Whether requests need keys, except on public routes. */
    public val requiresKeys: Boolean get() = teamsByKey != null

    /** Returns the route of a request to [path] of [host], or null if none matches. */
    public fun route(
        host: String,
        path: String,
    ): Route? = routeTable.find(host, path)

    /** Returns the service [id], or null when this version does not have it. */
    public fun service(id: ServiceId): RelayService? = servicesById[id]

    /** Returns the priority of requests of [team] on [route]; a null team is that of a request without a key. */
    public fun priority(
        route: Route,
        team: TeamId?,
    ): Priority = team?.let(teamPriorities::get) ?: route.priority ?: Priority.DEFAULT

    /** Returns whether requests for [service] can differ in priority. */
    public fun hasPriorities(service: ServiceId): Boolean = service in prioritizedServices

    /** Returns whether [service] has a model and a route that states a maximum gap between events. */
    public fun limitsEventGap(service: ServiceId): Boolean =
        servicesById[service]?.model != null && routesByService[service].orEmpty().any { it.maxEventGap != null }

    private val prioritizedServices: Set<ServiceId> =
        routesByService
            .filterValues { routes ->
                val ofRoutes = routes.map { it.priority ?: Priority.DEFAULT }
                (ofRoutes + teamPriorities.values).distinct().size > 1
            }.keys

    /** Returns the team that owns [key], or null if the key is not known. */
    public fun team(key: String): TeamId? = teamsByKey?.get(key)
}

/**
 * Holds the configuration in force in one process.
 *
 * Versions only increase while the process runs, so that a stale read never restores a removed route or key.
 */
public class ConfigurationHolder {
    /** The newest configuration that was offered, or null before the first one. */
    public var current: RelayConfiguration? = null
        private set

    /** Puts [offered] in force if its version is newer than that of [current], and returns whether it did. */
    public fun offer(offered: RelayConfiguration): Boolean {
        val isNewer = offered.version > (current?.version ?: Long.MIN_VALUE)
        if (isNewer) current = offered
        return isNewer
    }
}
