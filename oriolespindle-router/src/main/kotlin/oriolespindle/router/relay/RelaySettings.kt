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
    /** Callers give a stream up after two seconds without an event; a second run needs about half of that. */
    public val firstEvent: Duration = 1_000.milliseconds,
    /** The longest pause inside a stream before it is resumed elsewhere. */
    public val eventGap: Duration = 700.milliseconds,
    /** The wait for an engine's word on which endpoint of a path holds a stream up. */
    public val diagnosis: Duration = 150.milliseconds,
    /** How much longer a stream may pause whose first engine is alive; its connection may be silent all the same. */
    public val patience: Duration = 600.milliseconds,
    /** Told to callers while all paths have as much work as they can do in time; a stream ends every few dozen ms. */
    public val retryAfterOverload: Duration = 250.milliseconds,
    /** Told to callers while this instance has no configuration. */
    public val retryAfterStart: Duration = 1.seconds,
)
