package oriolespindle.core.contract

import oriolespindle.core.id.ModelId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import kotlin.time.Duration

/**
 * All limits and permissions of one team; no other setting limits a team.
 *
 * [ContractCodec] reads contracts from stored objects and validates their values. Rates and [concurrency] are totals
 * over all instances.
 *
 * @property keyDigests digests of the keys that authenticate the team.
 * @property requestsPerSecond the largest sustained request rate.
 * @property tokensPerSecond the largest sustained rate of prompt and generated tokens together; 0 allows no tokens.
 * @property concurrency the largest number of requests in progress at once.
 * @property weight the team's weight in fair sharing.
 * @property priorities the priority classes that the team may request.
 * @property models the models that the team may call; empty for none.
 * @property services the plain services that the team may call; empty for none.
 * @property defaultDeadline the deadline of a request that specifies none.
 * @property maximumDeadline the longest deadline that a request may specify.
 * @property maximumBodyBytes the largest request body, in bytes.
 * @property maximumPromptTokens the largest number of prompt tokens in a request.
 * @property maximumGeneratedTokens the largest number of tokens that a request may generate.
 * @property queueLength the largest number of requests that may wait at one instance.
 * @property retryBudget the largest number of retries, as a fraction of admitted requests.
 * @property unkeyedCallsAllowed whether a non-idempotent call without an idempotency key may be sent once.
 * @property uuidV7KeysRequired whether idempotency keys must be UUID version 7.
 */
public data class Contract(
    public val team: TeamId,
    public val keyDigests: Set<KeyDigest>,
    public val requestsPerSecond: Double,
    public val tokensPerSecond: Double,
    public val concurrency: Int,
    public val weight: Double,
    public val priorities: Set<Int>,
    public val models: Set<ModelId>,
    public val services: Set<ServiceId>,
    public val defaultDeadline: Duration,
    public val maximumDeadline: Duration,
    public val maximumBodyBytes: Int,
    public val maximumPromptTokens: Int,
    public val maximumGeneratedTokens: Int,
    public val queueLength: Int,
    public val retryBudget: Double,
    public val unkeyedCallsAllowed: Boolean = false,
    public val uuidV7KeysRequired: Boolean = false,
)
