package oriolespindle.core.stream

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.RouteQuery
import oriolespindle.core.id.EndpointId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RetryReason
import kotlin.time.Duration

/** The endpoints of a chain that answered a probe on a new connection, and those that did not. */
public data class ProbeResult(
    public val answered: Set<EndpointId>,
    public val silent: Set<EndpointId>,
)

/**
 * A failed attempt of a streamed request.
 *
 * [endpoint] is the faulty stage if it is known; for [RetryReason.LINK_DEGRADED] it is the stage behind the link.
 * [delivered] is the number of tokens delivered so far. [sameChainAttempts] counts the attempts that were already
 * resumed on the unchanged [chain]. [mayHaveRun] is false only if no attempt of the request can have reached an engine.
 */
public data class StageFailure(
    public val reason: RetryReason,
    public val endpoint: EndpointId?,
    public val chain: Chain,
    public val query: RouteQuery,
    public val delivered: Int,
    public val probe: ProbeResult? = null,
    public val sameChainAttempts: Int = 0,
    public val mayHaveRun: Boolean = true,
)

/** How a stage obtains the KV cache of the tokens so far. */
public sealed interface StageCache {
    /** The stage already holds the cache. */
    public data object Reuse : StageCache

    /** The stage imports the cache from the endpoint [from]. */
    public data class Import(
        public val from: EndpointId,
    ) : StageCache

    /** The stage recomputes the cache. */
    public data object Recompute : StageCache
}

/** The action to take after a [StageFailure]. */
public sealed interface Repair {
    /**
     * Start a new attempt on [chain], whose stages obtain their caches as listed in [cache].
     *
     * [estimatedCost] is the expected time to the next token. [reason] is the cause as far as it is known, and [failed]
     * contains the endpoints that later attempts of the request should avoid as well.
     */
    public data class Resume(
        public val chain: Chain,
        public val cache: List<StageCache>,
        public val estimatedCost: Duration,
        public val reason: RetryReason,
        public val failed: Set<EndpointId>,
    ) : Repair

    /** Probe [endpoints] on new connections for at most [timeout], and plan again with the [ProbeResult]. */
    public data class ProbeConnection(
        public val endpoints: List<EndpointId>,
        public val timeout: Duration,
    ) : Repair

    /** Continue the current attempt, since any other would finish later. */
    public data object Continue : Repair

    /** End the request with [outcome], since no chain can continue it. */
    public data class GiveUp(
        public val outcome: CallOutcome,
    ) : Repair
}
