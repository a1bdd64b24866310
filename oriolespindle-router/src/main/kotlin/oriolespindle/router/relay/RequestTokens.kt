package oriolespindle.router.relay

import oriolespindle.core.placement.ModelLayout

/** More than any engine has memory for; keeps sums of callers' figures from overflowing. */
private const val MAX_TOKENS = 10_000_000

/**
 * Returns the prompt tokens plus the expected answer: the caller's estimate or else the typical answer of [model], and
 * at most the maximum that the caller allows.
 *
 * [header] has the number of prompt tokens and the maximum number of answer tokens, separated by a comma; [lengthHint]
 * is the caller's estimate, which is ignored if it is no number.
 */
internal fun expectedTokens(
    header: String?,
    model: ModelLayout?,
    lengthHint: String? = null,
): Int {
    val parts = header?.split(',').orEmpty()
    val expectedAnswer = lengthHint?.let(::tokenCount) ?: model?.typicalAnswerTokens ?: 0
    val prompt = parts.getOrNull(0)?.let(::tokenCount) ?: model?.typicalPromptTokens ?: 0
    val maxAnswer = parts.getOrNull(1)?.let(::tokenCount) ?: expectedAnswer
    return prompt + minOf(expectedAnswer, maxAnswer)
}

private fun tokenCount(text: String): Int? = text.trim().toIntOrNull()?.coerceIn(0, MAX_TOKENS)
