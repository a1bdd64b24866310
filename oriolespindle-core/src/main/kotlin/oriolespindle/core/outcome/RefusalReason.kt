package oriolespindle.core.outcome

/**
 * The reasons for refusing a request that has not run.
 *
 * [code] is the stable name in answers, logs and the counter `oriolespindle_refusals_total`. [httpStatus] is the status
 * of the answer. [retryable] tells whether the answer states when the caller may retry.
 */
public enum class RefusalReason(
    public val code: String,
    public val httpStatus: Int,
    public val retryable: Boolean,
) {
    UNKNOWN_CREDENTIAL("unknown_credential", 401, false),
    MALFORMED_REQUEST("malformed_request", 400, false),
    HEAD_TOO_LARGE("head_too_large", 431, false),
    BODY_TOO_LARGE("body_too_large", 413, false),
    TOO_MANY_TOKENS("too_many_tokens", 400, false),
    MODEL_NOT_ALLOWED("model_not_allowed", 403, false),
    SERVICE_NOT_ALLOWED("service_not_allowed", 403, false),
    UNKNOWN_MODEL("unknown_model", 404, false),
    UNKNOWN_SERVICE("unknown_service", 404, false),
    REQUEST_RATE("request_rate", 429, true),
    TOKEN_RATE("token_rate", 429, true),
    CONCURRENCY("concurrency", 429, true),
    QUEUE_FULL("queue_full", 503, true),
    DEADLINE_UNREACHABLE("deadline_unreachable", 503, true),
    NO_CHAIN("no_chain", 503, true),
    NO_ENDPOINT("no_endpoint", 503, true),
    RETRY_BUDGET_EXHAUSTED("retry_budget_exhausted", 503, true),
    ENDPOINT_REFUSED("endpoint_refused", 503, true),
    PLATFORM_UNAVAILABLE("platform_unavailable", 503, true),
    CONFIGURATION_MISSING("configuration_missing", 503, true),
    KEY_REQUIRED("key_required", 400, false),
    KEY_INVALID("key_invalid", 400, false),
    KEY_EXPIRED("key_expired", 409, false),
    KEY_REUSED("key_reused", 422, false),
    QUARANTINED("quarantined", 422, false),
    STOPPING("stopping", 503, true),
    OVERLOADED("overloaded", 503, true),
}
