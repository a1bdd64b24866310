package oriolespindle.core.relay

import oriolespindle.core.id.ServiceId
import kotlin.time.Duration

/** What may be repeated of the requests on a route. */
public enum class RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,

    /** A request may run at most once. */
    NON_IDEMPOTENT,

    /** The answer is a stream of events; it runs at most once unless the route is resumable. */
    STREAM,
}

/** One service of a route and its part of the route's requests, relative to the other weights. */
public data class RouteTarget(
    public val service: ServiceId,
    public val weight: Int = 1,
)

/** How requests of one host and path prefix are relayed. */
public data class Route(
    public val name: String,
    public val host: String,
    /** Begins and ends with a slash. */
    public val pathPrefix: String,
    public val kind: RouteKind,
    public val targets: List<RouteTarget>,
    /** The longest time for which a caller is kept waiting for the whole answer. */
    public val timeout: Duration,
    /** The time to the answer, or to the first event of a stream, that the operator aims at; null where none is set. */
    public val objective: Duration?,
    /** The most endpoints that one request is sent to. */
    public val maxAttempts: Int = 1,
    /** Whether requests need no key. */
    public val isPublic: Boolean = false,
    /** Whether a broken stream may go on at another endpoint after the last delivered event. */
    public val isResumable: Boolean = false,
) {
    /** Whether a request that may have run can be sent again. */
    public val isRetryable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)
}
