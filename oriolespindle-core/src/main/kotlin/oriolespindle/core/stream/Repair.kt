package oriolespindle.core.stream

import oriolespindle.core.chain.Chain
import oriolespindle.core.chain.RouteQuery
import oriolespindle.core.id.EndpointId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RetryReason
import kotlin.time.Duration

/** Which endpoints of a chain answered on new connections and which did not. */
public data class ProbeResult(
    public val answered: Set<EndpointId>,
    public val silent: Set<EndpointId>,
)

/**
 * A failed attempt of a streamed request.
 *
 * [endpoint] is the stage to blame if it is known, and for [RetryReason.LINK_DEGRADED] the stage behind the link.
 * [sameChainAttempts] counts the attempts already resumed on [chain] without a change. [mayHaveRun] is false only when
 * no attempt of the request can have reached an engine.
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

/** Where a stage takes the KV cache of the tokens so far from. */
public sealed interface StageCache {
    /** The stage holds it. */
    public data object Reuse : StageCache

    /** The stage imports it from the endpoint [from]. */
    public data class Import(
        public val from: EndpointId,
    ) : StageCache

    /** The stage computes it again. */
    public data object Recompute : StageCache
}

/** What to do about a [StageFailure]. */
public sealed interface Repair {
    /**
     * A new attempt on [chain], whose stages take their cache as in [cache].
     *
     * [estimatedCost] is the expected time to the next token. [reason] is the cause as it is known now, and [failed]
     * the endpoints that later attempts of the request should avoid, too.
     */
    public data class Resume(
        public val chain: Chain,
        public val cache: List<StageCache>,
        public val estimatedCost: Duration,
        public val reason: RetryReason,
        public val failed: Set<EndpointId>,
    ) : Repair

    /** Ask [endpoints] on new connections, wait at most [timeout], and call again with the result. */
    public data class ProbeConnection(
        public val endpoints: List<EndpointId>,
        public val timeout: Duration,
    ) : Repair

    /** The present attempt goes on, since any other would finish later. */
    public data object Continue : Repair

    /** No chain can go on with the request; [outcome] is final. */
    public data class GiveUp(
        public val outcome: CallOutcome,
    ) : Repair
}
