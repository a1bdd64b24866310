package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.outcome.RefusalReason
import kotlin.time.Duration

/** A hash of the part of a prompt that requests have in common; equal values share cached prefixes. */
@JvmInline
public value class PrefixHash(
    public val value: Long,
) {
    public companion object {
        /** A prompt that shares no prefix with others. */
        public val NONE: PrefixHash = PrefixHash(0)
    }
}

/**
 * What is known about a request when its chain is chosen.
 *
 * A higher [priority] is served first by the engines. [zone] is where the answer is wanted. Endpoints in [avoid] are
 * never chosen. [keep] are stages that hold KV cache of the request; the chosen chain contains every one of them that
 * is available.
 */
public data class RouteQuery(
    public val request: RequestId,
    public val model: ModelId,
    public val prefix: PrefixHash,
    public val promptTokens: Int,
    public val maxTokens: Int,
    public val priority: Int,
    public val zone: ZoneId,
    public val avoid: Set<EndpointId> = emptySet(),
    public val keep: List<Stage> = emptyList(),
)

/** The answer of a [ChainSelector] to a [RouteQuery]. */
public sealed interface ChainChoice {
    /**
     * The request should run on [chain].
     *
     * [expectedWait] is the estimated time to its first token and [expectedCompletion] that to its last.
     */
    public data class Chosen(
        public val chain: Chain,
        public val expectedWait: Duration,
        public val expectedCompletion: Duration,
    ) : ChainChoice

    /** No chain can run the request now; nothing was sent. */
    public data class Unavailable(
        public val reason: RefusalReason,
    ) : ChainChoice
}
