package oriolespindle.core.contract

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import oriolespindle.core.contract.FieldReader.Companion.numberOrNull
import oriolespindle.core.id.ModelId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reads and writes contracts as JSON.
 *
 * The fields have the names of the properties of [Contract], except that deadlines are `defaultDeadlineMs` and
 * `maximumDeadlineMs`. Every field is required but the two flags, which are false when absent.
 */
public object ContractCodec {
    private const val MAXIMUM_RATE = 1e9
    private const val MAXIMUM_COUNT = 10_000_000
    private const val MAXIMUM_WEIGHT = 1e4
    private const val MINIMUM_WEIGHT = 1e-3
    private const val MAXIMUM_DEADLINE_MS = 3_600_000L
    private const val MAXIMUM_QUEUE = 100_000
    private const val MAXIMUM_PRIORITY = 9

    /**
     * The largest body that a contract may allow, in bytes.
     *
     * Listeners take no larger one: a body is held until its endpoint has taken it, and memory has to be bounded before
     * a request is known to belong to a team.
     */
    public const val MAX_BODY_BYTES: Int = 1024 * 1024

    // Retries of all teams stay within 10% of load only if those of each team do.
    private const val MAXIMUM_RETRY_BUDGET = 0.1

    // The token rate is bounded over 10 s, and instances keep a part of it that one large request cannot have.
    private const val LARGEST_REQUEST_SECONDS = 8

    private const val NAME_RULE = "must be 1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
    private val NAME = Regex("[a-z0-9][a-z0-9._-]{0,63}")

    /** Reads a contract and returns every violation if there are any. */
    public fun parse(json: String): ContractResult {
        val fields =
            try {
                Json.decodeFromString(FieldListSerializer, json)
            } catch (e: SerializationException) {
                val cause =
                    e.message
                        .orEmpty()
                        .lineSequence()
                        .first()
                return ContractResult.Invalid(listOf(Violation("contract", cause, "must be one JSON object")))
            }
        val reader = FieldReader(fields)
        val contract = read(reader)
        reader.rejectUnread()
        return if (reader.violations.isEmpty()) {
            ContractResult.Valid(contract)
        } else {
            ContractResult.Invalid(reader.violations.toList())
        }
    }

    /** Reads a contract, or returns null if there are violations. */
    public fun parseOrNull(json: String): Contract? = (parse(json) as? ContractResult.Valid)?.contract

    /** Writes [contract] so that [parse] returns an equal one. */
    public fun encode(contract: Contract): String =
        buildJsonObject {
            put("team", contract.team.value)
            putJsonArray("keyDigests") { contract.keyDigests.forEach { add(it.value) } }
            put("requestsPerSecond", contract.requestsPerSecond)
            put("tokensPerSecond", contract.tokensPerSecond)
            put("concurrency", contract.concurrency)
            put("weight", contract.weight)
            putJsonArray("priorities") { contract.priorities.forEach { add(it) } }
            putJsonArray("models") { contract.models.forEach { add(it.value) } }
            putJsonArray("services") { contract.services.forEach { add(it.value) } }
            put("defaultDeadlineMs", contract.defaultDeadline.inWholeMilliseconds)
            put("maximumDeadlineMs", contract.maximumDeadline.inWholeMilliseconds)
            put("maximumBodyBytes", contract.maximumBodyBytes)
            put("maximumPromptTokens", contract.maximumPromptTokens)
            put("maximumGeneratedTokens", contract.maximumGeneratedTokens)
            put("queueLength", contract.queueLength)
            put("retryBudget", contract.retryBudget)
            put("unkeyedCallsAllowed", contract.unkeyedCallsAllowed)
            put("uuidV7KeysRequired", contract.uuidV7KeysRequired)
        }.toString()

    private fun read(reader: FieldReader): Contract {
        val contract =
            Contract(
                team = TeamId(reader.text("team", NAME, NAME_RULE)),
                keyDigests =
                    reader.set("keyDigests", minimum = 1, "must be 64 lower-case hexadecimal digits") {
                        it.textOrNull()?.let(KeyDigest::parseOrNull)
                    },
                requestsPerSecond = reader.double("requestsPerSecond", 0.0..MAXIMUM_RATE),
                tokensPerSecond = reader.double("tokensPerSecond", 0.0..MAXIMUM_RATE),
                concurrency = reader.int("concurrency", 0..MAXIMUM_COUNT),
                weight = reader.double("weight", MINIMUM_WEIGHT..MAXIMUM_WEIGHT),
                priorities =
                    reader.set("priorities", minimum = 1, "must be an integer from 0 to $MAXIMUM_PRIORITY") {
                        it.numberOrNull()?.toIntOrNull()?.takeIf { p -> p in 0..MAXIMUM_PRIORITY }
                    },
                models = reader.set("models", minimum = 0, NAME_RULE) { it.nameOrNull()?.let(::ModelId) },
                services = reader.set("services", minimum = 0, NAME_RULE) { it.nameOrNull()?.let(::ServiceId) },
                defaultDeadline = reader.long("defaultDeadlineMs", 1..MAXIMUM_DEADLINE_MS).milliseconds,
                maximumDeadline = reader.long("maximumDeadlineMs", 1..MAXIMUM_DEADLINE_MS).milliseconds,
                maximumBodyBytes = reader.int("maximumBodyBytes", 0..MAX_BODY_BYTES),
                maximumPromptTokens = reader.int("maximumPromptTokens", 0..MAXIMUM_COUNT),
                maximumGeneratedTokens = reader.int("maximumGeneratedTokens", 0..MAXIMUM_COUNT),
                queueLength = reader.int("queueLength", 0..MAXIMUM_QUEUE),
                retryBudget = reader.double("retryBudget", 0.0..MAXIMUM_RETRY_BUDGET),
                unkeyedCallsAllowed = reader.flag("unkeyedCallsAllowed", default = false),
                uuidV7KeysRequired = reader.flag("uuidV7KeysRequired", default = false),
            )
        if (contract.defaultDeadline > contract.maximumDeadline) {
            val value = contract.defaultDeadline.inWholeMilliseconds.toString()
            reader.violate("defaultDeadlineMs", value, "must not be above maximumDeadlineMs")
        }
        val largest = contract.maximumPromptTokens.toLong() + contract.maximumGeneratedTokens
        if (largest > contract.tokensPerSecond * LARGEST_REQUEST_SECONDS) {
            val rule = "must allow maximumPromptTokens + maximumGeneratedTokens within $LARGEST_REQUEST_SECONDS s"
            reader.violate("tokensPerSecond", contract.tokensPerSecond.toString(), rule)
        }
        return contract
    }

    private fun JsonPrimitive.textOrNull(): String? = takeIf { it.isString }?.content

    private fun JsonPrimitive.nameOrNull(): String? = textOrNull()?.takeIf(NAME::matches)
}
