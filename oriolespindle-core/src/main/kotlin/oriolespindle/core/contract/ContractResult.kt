package oriolespindle.core.contract

/** The result of reading a contract. */
public sealed interface ContractResult {
    /** The text is a contract. */
    public data class Valid(
        public val contract: Contract,
    ) : ContractResult

    /** The text breaks every rule in [violations], which is never empty. */
    public data class Invalid(
        public val violations: List<Violation>,
    ) : ContractResult
}

/** One broken rule: the [field], its [value] as written (shortened when long) and the [rule] that it breaks. */
public data class Violation(
    public val field: String,
    public val value: String,
    public val rule: String,
) {
    override fun toString(): String = "$field is $value: $rule"
}
