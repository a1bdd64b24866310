package oriolespindle.router.relay

import oriolespindle.core.id.InstanceId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.lifecycle.ShutdownSettings
import oriolespindle.core.relay.ServiceBudgetSettings
import oriolespindle.router.http.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The settings of one [Relay]. */
public data class RelaySettings(
    public val instance: InstanceId,
    public val zone: ZoneId,
    /** Where callers connect. */
    public val callers: Address,
    /** Where the balancer asks whether this instance takes new connections. */
    public val readiness: Address,
    /** Where metrics are served; null serves them with readiness only. */
    public val metrics: Address?,
    public val headerNames: RelayHeaderNames,
    public val budgets: ServiceBudgetSettings,
    public val maxConnections: Int,
    public val shutdown: ShutdownSettings,
    public val times: RelayTimes = RelayTimes(),
)

/** How long the relay waits for endpoints. */
public data class RelayTimes(
    /** Several times the round trip between zones, so that a lost packet is sent again within it. */
    public val connect: Duration = 400.milliseconds,
    /** A pooled connection to a plain service that was idle for longer may have been dropped by something between. */
    public val maxIdleNonIdempotent: Duration = 3.seconds,
    /** An idempotent call without an answer is repeated after this many objectives of its route. */
    public val silentAfterObjectives: Double = 2.0,
    /** The wait for the first event before the first engine is asked; several times that of an engine with room. */
    public val firstEvent: Duration = 400.milliseconds,
    /** The pause inside a stream before the first engine is asked; callers count a pause from 250 ms on as late. */
    public val eventGap: Duration = 350.milliseconds,
    /** How long an engine's report may take, and the time between two reports. */
    public val askAgain: Duration = 300.milliseconds,
    /**
     * The pause after which a stream is given up although its first engine is alive.
     *
     * Its connection may be silent. Callers give up after two seconds, and a second run needs about half of that.
     */
    public val patience: Duration = 1_200.milliseconds,
    /** A stream that has had an event more recently than this does not wait for an endpoint that was lost. */
    public val quiet: Duration = 150.milliseconds,
    /** Told to callers while all paths have as much work as they can do in time; a stream ends every few dozen ms. */
    public val retryAfterOverload: Duration = 250.milliseconds,
    /** Told to callers while this instance has no configuration. */
    public val retryAfterStart: Duration = 1.seconds,
)
