package oriolespindle.router.relay

import oriolespindle.core.placement.ModelLayout

/** More than any engine has memory for; keeps sums of callers' figures from overflowing. */
private const val MAX_TOKENS = 10_000_000

/**
 * Returns the prompt tokens plus the smaller of the typical answer of [model] and the maximum that the caller allows.
 *
 * [header] has the number of prompt tokens and the maximum number of answer tokens, separated by a comma.
 */
internal fun expectedTokens(
    header: String?,
    model: ModelLayout?,
): Int {
    val parts = header?.split(',').orEmpty()
    val tokens = { index: Int ->
        parts
            .getOrNull(index)
            ?.trim()
            ?.toIntOrNull()
            ?.coerceIn(0, MAX_TOKENS)
    }
    val usualAnswer = model?.typicalAnswerTokens ?: 0
    val prompt = tokens(0) ?: model?.typicalPromptTokens ?: 0
    val answer = tokens(1) ?: usualAnswer
    return prompt + minOf(answer, usualAnswer)
}
