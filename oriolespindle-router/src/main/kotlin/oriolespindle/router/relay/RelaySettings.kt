package oriolespindle.router.relay

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.lifecycle.LateRequestSettings
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.relay.DirectorySettings
import oriolespindle.core.relay.ServiceBudgetSettings
import oriolespindle.router.http.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of one [Relay]. */
public data class RelaySettings(
    /** The id of this instance. */
    public val instance: InstanceId,
    /** The availability zone of this instance. */
    public val zone: ZoneId,
    /** The address that callers connect to. */
    public val callers: Address,
    /** The address where the load balancer probes whether this instance accepts new connections. */
    public val readiness: Address,
    /** A further address that serves metrics; with null only [readiness] serves them. */
    public val metrics: Address?,
    /** The address where other instances of the zone report refusing endpoints; null if they do not. */
    public val refusals: Address?,
    public val headerNames: RelayHeaderNames,
    public val budgets: ServiceBudgetSettings,
    /** Maximum number of open connections of callers. */
    public val maxConnections: Int,
    public val shutdown: ShutdownSettings,
    public val times: RelayTimes = RelayTimes(),
    public val directory: DirectorySettings = DirectorySettings(),
    public val lateRequests: LateRequestSettings = LateRequestSettings(),
    /** Whether instances of the zone tell each other their load and spread the choice of paths; needs [refusals]. */
    public val sharesLoad: Boolean = false,
)

/** Timeouts and delays of the relay. */
public data class RelayTimes(
    /** Connect timeout; several round trips between zones, which leaves time to retransmit a lost packet. */
    public val connectTimeout: Duration = 400.milliseconds,
    /**
     * Maximum idle time of a pooled connection that may carry a non-idempotent request.
     *
     * A device on the network path may have dropped a connection that was idle for longer.
     */
    public val maxIdleNonIdempotent: Duration = 3.seconds,
    /** Timeout before an idempotent call without an answer is retried, as a multiple of its route's objective. */
    public val silentAfterObjectives: Double = 2.0,
    /**
     * Timeout for the first event, after which the path's first engine is asked for a stall report.
     *
     * A plain service is not asked; its stream is sent to another endpoint if one is free.
     * Several times the wait at an engine with free capacity.
     */
    public val firstEventTimeout: Duration = 400.milliseconds,
    /**
     * Timeout for each further event, after which the path's first engine is asked for a stall report.
     *
     * Callers count a gap of 250 ms or more as late.
     */
    public val eventTimeout: Duration = 350.milliseconds,
    /** Timeout for a stall report, and the interval between two reports. */
    public val stallReportInterval: Duration = 300.milliseconds,
    /**
     * Maximum gap between two events before a stream is resumed at a free endpoint although its own one may be sound.
     *
     * The connection may have gone silent. Callers time out after two seconds, and a second run takes about half that.
     */
    public val maxEventGap: Duration = 1_200.milliseconds,
    /** A stream whose last event is more recent than this is not waiting for a lost endpoint and is kept. */
    public val minSilence: Duration = 150.milliseconds,
    /** `Retry-After` while all paths are at capacity; a stream ends every few dozen milliseconds. */
    public val retryAfterOverload: Duration = 250.milliseconds,
    /**
     * The longest pause that callers are told in `Retry-After` while the endpoints want no requests of this instance.
     *
     * Callers return to any instance, and another one may have been asked for no pause.
     */
    public val maxRetryAfterPause: Duration = 1.seconds,
    /** `Retry-After` while this instance has no configuration. */
    public val retryAfterStart: Duration = 1.seconds,
    /** How long a request waits for the first configuration and endpoints; about the time that a start needs. */
    public val maxStartupWait: Duration = 500.milliseconds,
) {
    /** Prints the names that operators see in the output of `--check`, which differ from some property names. */
    override fun toString(): String =
        "RelayTimes(connect=$connectTimeout, maxIdleNonIdempotent=$maxIdleNonIdempotent, " +
            "silentAfterObjectives=$silentAfterObjectives, firstEvent=$firstEventTimeout, " +
            "eventGap=$eventTimeout, askAgain=$stallReportInterval, patience=$maxEventGap, " +
            "quiet=$minSilence, retryAfterOverload=$retryAfterOverload, retryAfterStart=$retryAfterStart, " +
            "retryAfterPause=$maxRetryAfterPause, " +
            "startupWait=$maxStartupWait)"
}
