package oriolespindle.core.relay

import oriolespindle.core.admission.Priority
import oriolespindle.core.id.ServiceId
import kotlin.time.Duration

/** Whether requests on a route may run more than once. */
public enum class RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,

    /** A request may run at most once. */
    NON_IDEMPOTENT,

    /** The answer is a stream of events; it runs at most once unless the route is resumable. */
    STREAM,
}

/** One service of a route; [weight] is its share of the route's requests relative to the other weights. */
public data class RouteTarget(
    public val service: ServiceId,
    public val weight: Int = 1,
)

/** How requests to one host and path prefix are relayed. */
public data class Route(
    public val name: String,
    public val host: String,
    /** Begins and ends with a slash. */
    public val pathPrefix: String,
    public val kind: RouteKind,
    public val targets: List<RouteTarget>,
    /** The longest time that a caller waits for the complete answer. */
    public val timeout: Duration,
    /** The operator's target for the time to the answer, or to the first event of a stream; null if none is set. */
    public val objective: Duration?,
    /** The most endpoints that one request is sent to, and the most times that it may run. */
    public val maxAttempts: Int = 1,
    /** Whether requests need no key. */
    public val isPublic: Boolean = false,
    /** Whether another endpoint may continue a broken stream after the last delivered event. */
    public val isResumable: Boolean = false,
    /** The urgency of the route's requests; null if the operator states none. */
    public val priority: Priority? = null,
    /** The longest gap between two events of a stream with which its answer is in time; null if none is set. */
    public val maxEventGap: Duration? = null,
) {
    /** Whether a request may be retried even if it may have run. */
    public val isRetryable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)
}
