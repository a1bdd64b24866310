package oriolespindle.core.outcome

/** The reasons for retrying a request; [code] is the stable name in counters and logs. */
public enum class RetryReason(
    public val code: String,
) {
    CONNECT_FAILED("connect_failed"),
    CONNECTION_RESET("connection_reset"),
    STAGE_LOST("stage_lost"),
    TOKEN_GAP("token_gap"),
    SILENT_CONNECTION("silent_connection"),
    LINK_DEGRADED("link_degraded"),
    TRUNCATED_ANSWER("truncated_answer"),
    ENDPOINT_LEAVING("endpoint_leaving"),
    ENDPOINT_BUSY("endpoint_busy"),
}
