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
 * Parses contracts from JSON and encodes them to JSON.
 *
 * The fields are named like the properties of [Contract], except for the deadlines, which are `defaultDeadlineMs` and
 * `maximumDeadlineMs`. All fields are required except the two flags, which default to false.
 */
public object ContractCodec {
    private const val MAX_RATE = 1e9
    private const val MAX_COUNT = 10_000_000
    private const val MAX_WEIGHT = 1e4
    private const val MIN_WEIGHT = 1e-3
    private const val MAX_DEADLINE_MS = 3_600_000L
    private const val MAX_QUEUE_LENGTH = 100_000
    private const val MAX_PRIORITY = 9

    /**
     * The largest request body that a contract may allow, in bytes.
     *
     * Listeners reject larger bodies: a body stays in memory until its endpoint has received it, and memory use has to
     * be bounded before the team of a request is known.
     */
    public const val MAX_BODY_BYTES: Int = 1024 * 1024

    // Retries stay within 10% of the total load only if the retries of each team do.
    private const val MAX_RETRY_BUDGET = 0.1

    // The token rate is enforced over 10 s, and instances keep back a part of it that one large request cannot use.
    private const val MAX_REQUEST_SECONDS = 8

    private const val NAME_RULE = "must be 1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
    private val NAME_PATTERN = Regex("[a-z0-9][a-z0-9._-]{0,63}")

    /** Parses a contract, or returns all violations if there are any. */
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
        val contract = readContract(reader)
        reader.reportUnreadFields()
        return if (reader.violations.isEmpty()) {
            ContractResult.Valid(contract)
        } else {
            ContractResult.Invalid(reader.violations.toList())
        }
    }

    /** Parses a contract, or returns null if there are violations. */
    public fun parseOrNull(json: String): Contract? = (parse(json) as? ContractResult.Valid)?.contract

    /** Encodes [contract] as JSON that [parse] reads as an equal contract. */
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

    private fun readContract(reader: FieldReader): Contract {
        val contract =
            Contract(
                team = TeamId(reader.text("team", NAME_PATTERN, NAME_RULE)),
                keyDigests =
                    reader.set("keyDigests", minSize = 1, "must be 64 lower-case hexadecimal digits") {
                        it.textOrNull()?.let(KeyDigest::parseOrNull)
                    },
                requestsPerSecond = reader.double("requestsPerSecond", 0.0..MAX_RATE),
                tokensPerSecond = reader.double("tokensPerSecond", 0.0..MAX_RATE),
                concurrency = reader.int("concurrency", 0..MAX_COUNT),
                weight = reader.double("weight", MIN_WEIGHT..MAX_WEIGHT),
                priorities =
                    reader.set("priorities", minSize = 1, "must be an integer from 0 to $MAX_PRIORITY") {
                        it.numberOrNull()?.toIntOrNull()?.takeIf { p -> p in 0..MAX_PRIORITY }
                    },
                models = reader.set("models", minSize = 0, NAME_RULE) { it.nameOrNull()?.let(::ModelId) },
                services = reader.set("services", minSize = 0, NAME_RULE) { it.nameOrNull()?.let(::ServiceId) },
                defaultDeadline = reader.long("defaultDeadlineMs", 1..MAX_DEADLINE_MS).milliseconds,
                maximumDeadline = reader.long("maximumDeadlineMs", 1..MAX_DEADLINE_MS).milliseconds,
                maximumBodyBytes = reader.int("maximumBodyBytes", 0..MAX_BODY_BYTES),
                maximumPromptTokens = reader.int("maximumPromptTokens", 0..MAX_COUNT),
                maximumGeneratedTokens = reader.int("maximumGeneratedTokens", 0..MAX_COUNT),
                queueLength = reader.int("queueLength", 0..MAX_QUEUE_LENGTH),
                retryBudget = reader.double("retryBudget", 0.0..MAX_RETRY_BUDGET),
                unkeyedCallsAllowed = reader.flag("unkeyedCallsAllowed", default = false),
                uuidV7KeysRequired = reader.flag("uuidV7KeysRequired", default = false),
            )
        if (contract.defaultDeadline > contract.maximumDeadline) {
            val value = contract.defaultDeadline.inWholeMilliseconds.toString()
            reader.addViolation("defaultDeadlineMs", value, "must not be above maximumDeadlineMs")
        }
        val maxRequestTokens = contract.maximumPromptTokens.toLong() + contract.maximumGeneratedTokens
        if (maxRequestTokens > contract.tokensPerSecond * MAX_REQUEST_SECONDS) {
            val rule = "must allow maximumPromptTokens + maximumGeneratedTokens within $MAX_REQUEST_SECONDS s"
            reader.addViolation("tokensPerSecond", contract.tokensPerSecond.toString(), rule)
        }
        return contract
    }

    private fun JsonPrimitive.textOrNull(): String? = takeIf { it.isString }?.content

    private fun JsonPrimitive.nameOrNull(): String? = textOrNull()?.takeIf(NAME_PATTERN::matches)
}
