package oriolespindle.core.outcome

import kotlin.time.Duration

/** The final result of one caller request. */
public sealed interface CallOutcome {
    /** The request ran and its whole answer was delivered. */
    public data object Done : CallOutcome

    /**
     * The request did not run at any endpoint.
     *
     * [retryAfter] tells the caller when to come back and is null when a repeat cannot succeed.
     */
    public data class NotRun(
        public val reason: RefusalReason,
        public val message: String,
        public val retryAfter: Duration? = null,
    ) : CallOutcome

    /** The request may or may not have run and will not be sent again. */
    public data class Unknown(
        public val reason: UnknownReason,
        public val message: String,
    ) : CallOutcome
}
