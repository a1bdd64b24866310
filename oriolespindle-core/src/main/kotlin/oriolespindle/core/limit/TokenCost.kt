package oriolespindle.core.limit

/**
 * The cost of one request in tokens, 0 for a call to a plain service.
 *
 * Before the request has run, [generated] is the maximum that it may generate.
 *
 * @throws IllegalArgumentException if a value is negative.
 */
public data class TokenCost(
    public val prompt: Int,
    public val generated: Int,
) {
    init {
        require(prompt >= 0 && generated >= 0) { "token cost ($prompt, $generated) must not be negative" }
    }

    /** The tokens of the prompt and the answer together. */
    public val total: Long get() = prompt.toLong() + generated

    public companion object {
        /** The cost of a call that uses no tokens. */
        public val NONE: TokenCost = TokenCost(0, 0)
    }
}
