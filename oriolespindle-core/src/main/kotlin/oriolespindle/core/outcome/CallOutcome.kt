package oriolespindle.core.outcome

import kotlin.time.Duration

/** The final result of one caller request. */
public sealed interface CallOutcome {
    /** The request ran and its complete answer was delivered. */
    public data object Done : CallOutcome

    /**
     * The request did not run on any endpoint.
     *
     * [retryAfter] is the time after which the caller may retry; it is null if a retry cannot succeed.
     */
    public data class NotRun(
        public val reason: RefusalReason,
        public val message: String,
        public val retryAfter: Duration? = null,
    ) : CallOutcome

    /** It is unknown whether the request ran; it is not retried. */
    public data class Unknown(
        public val reason: UnknownReason,
        public val message: String,
    ) : CallOutcome
}
