package oriolespindle.core.chain

import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.RequestId
import oriolespindle.core.id.ZoneId
import oriolespindle.core.outcome.RefusalReason
import kotlin.time.Duration

/** A hash of a prompt prefix that requests have in common; requests with equal hashes can share a cached prefix. */
@JvmInline
public value class PrefixHash(
    public val value: Long,
) {
    public companion object {
        /** The hash of a prompt that shares no prefix with others. */
        public val NONE: PrefixHash = PrefixHash(0)
    }
}

/**
 * The properties of a request that determine its chain.
 *
 * Engines serve a request of higher [priority] first. [zone] is the zone of the caller. Endpoints in [avoid] are never
 * selected. [keep] are stages that hold KV cache of the request; the selected chain contains all of them that are
 * available.
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

/** The result of [ChainSelector.choose]. */
public sealed interface ChainChoice {
    /**
     * The request is to run on [chain].
     *
     * [expectedWait] is the expected time to its first token, [expectedCompletion] the expected time to its last token.
     */
    public data class Chosen(
        public val chain: Chain,
        public val expectedWait: Duration,
        public val expectedCompletion: Duration,
    ) : ChainChoice

    /** No chain can currently run the request; nothing was sent. */
    public data class Unavailable(
        public val reason: RefusalReason,
    ) : ChainChoice
}
