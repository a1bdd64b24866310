package oriolespindle.core.contract

import oriolespindle.core.id.ModelId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import kotlin.time.Duration

/**
 * Everything that limits one team; no other setting does.
 *
 * Values are checked by [ContractCodec], which is how a contract is read from a stored object. Rates and
 * [concurrency] are totals over all instances.
 *
 * @property keyDigests digests of the keys that authenticate the team.
 * @property requestsPerSecond the sustained request rate.
 * @property tokensPerSecond the sustained rate of prompt and generated tokens together; 0 allows no tokens.
 * @property concurrency the number of requests in progress at once.
 * @property weight the team's weight in fair shares.
 * @property priorities the priority classes that the team may ask for.
 * @property models the models that the team may call; empty for none.
 * @property services the plain services that the team may call; empty for none.
 * @property defaultDeadline the deadline of a request that names none.
 * @property maximumDeadline the longest deadline that a request may ask for.
 * @property queueLength the number of requests that may wait at one instance.
 * @property retryBudget retries as a fraction of admitted requests.
 * @property unkeyedCallsAllowed whether a non-idempotent call without a key may be sent once.
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
