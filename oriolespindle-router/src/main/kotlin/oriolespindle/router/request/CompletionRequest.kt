package oriolespindle.router.request

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import oriolespindle.core.contract.Contract
import oriolespindle.core.id.ModelId
import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason

/** The body of `POST /v1/completions`; unknown fields are ignored because client libraries send many. */
@Serializable
internal data class CompletionBody(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int = 16,
    val stream: Boolean = false,
    val priority: Int? = null,
)

/** A validated completion request that its team's contract allows. */
internal data class CompletionRequest(
    val model: ModelId,
    val prompt: String,
    val promptTokens: Int,
    val maxTokens: Int,
    val stream: Boolean,
    val priority: Int,
)

internal sealed interface CompletionParse {
    data class Valid(
        val request: CompletionRequest,
    ) : CompletionParse

    data class Refused(
        val outcome: CallOutcome.NotRun,
    ) : CompletionParse
}

/** Parses completion bodies and validates them against the contract of the team. */
internal object CompletionParser {
    private val json = Json { ignoreUnknownKeys = true }

    /** Engines do not report prompt lengths; four bytes per token is the usual estimate for English text. */
    private const val BYTES_PER_TOKEN = 4

    fun parse(
        body: ByteArray,
        contract: Contract,
    ): CompletionParse {
        val decoded =
            try {
                json.decodeFromString(CompletionBody.serializer(), body.decodeToString(throwOnInvalidSequence = true))
            } catch (e: SerializationException) {
                return refused(RefusalReason.MALFORMED_REQUEST, firstLine(e))
            } catch (e: CharacterCodingException) {
                return refused(RefusalReason.MALFORMED_REQUEST, "the body is not valid UTF-8")
            }
        return check(decoded, contract)
    }

    private fun check(
        body: CompletionBody,
        contract: Contract,
    ): CompletionParse {
        val model = ModelId(body.model)
        val promptTokens = (body.prompt.toByteArray().size + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN
        val priority = body.priority ?: defaultPriority(contract)
        return when {
            model !in contract.models -> {
                refused(RefusalReason.MODEL_NOT_ALLOWED, "the contract does not allow model '${body.model}'")
            }

            body.maxTokens < 1 -> {
                refused(RefusalReason.MALFORMED_REQUEST, "max_tokens is ${body.maxTokens}, must be at least 1")
            }

            body.maxTokens > contract.maximumGeneratedTokens -> {
                val limit = contract.maximumGeneratedTokens
                refused(RefusalReason.TOO_MANY_TOKENS, "max_tokens is ${body.maxTokens}, the contract allows $limit")
            }

            promptTokens > contract.maximumPromptTokens -> {
                val limit = contract.maximumPromptTokens
                refused(
                    RefusalReason.TOO_MANY_TOKENS,
                    "the prompt has $promptTokens tokens, the contract allows $limit",
                )
            }

            contract.priorities.isNotEmpty() && priority !in contract.priorities -> {
                refused(RefusalReason.MALFORMED_REQUEST, "priority $priority is not one of ${contract.priorities}")
            }

            else -> {
                CompletionParse.Valid(
                    CompletionRequest(model, body.prompt, promptTokens, body.maxTokens, body.stream, priority),
                )
            }
        }
    }

    private fun defaultPriority(contract: Contract): Int = contract.priorities.minOrNull() ?: 0

    private fun refused(
        reason: RefusalReason,
        message: String,
    ): CompletionParse = CompletionParse.Refused(CallOutcome.NotRun(reason, message))

    private fun firstLine(e: Exception): String =
        e.message
            .orEmpty()
            .lineSequence()
            .first()
}
