package oriolespindle.core.contract

/** The result of parsing a contract. */
public sealed interface ContractResult {
    /** The text is a valid contract. */
    public data class Valid(
        public val contract: Contract,
    ) : ContractResult

    /** The text breaks the rules in [violations], of which there is at least one. */
    public data class Invalid(
        public val violations: List<Violation>,
    ) : ContractResult
}

/** One violated rule: the [field], its [value] as written (shortened if long) and the [rule]. */
public data class Violation(
    public val field: String,
    public val value: String,
    public val rule: String,
) {
    override fun toString(): String = "$field is $value: $rule"
}
