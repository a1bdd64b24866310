package oriolespindle.core.relay

import oriolespindle.core.id.ServiceId

/** Finds the route of a request by its host and the longest matching path prefix. */
public class RouteTable(
    routes: List<Route>,
) {
    private val byHost: Map<String, List<Route>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route for [host], with or without a port, and [path], without a query; null if none matches. */
    public fun find(
        host: String,
        path: String,
    ): Route? = byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    public companion object {
        /** Selects a service by weight; equal [seed]s select the same one, so that a retry goes to the same service. */
        public fun selectTarget(
            route: Route,
            seed: Int,
        ): ServiceId? {
            val total = route.targets.sumOf { it.weight }
            if (total <= 0) return route.targets.firstOrNull()?.service
            var offset = Math.floorMod(seed, total)
            return route.targets
                .first {
                    offset -= it.weight
                    offset < 0
                }.service
        }
    }
}
