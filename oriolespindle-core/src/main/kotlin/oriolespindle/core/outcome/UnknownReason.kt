package oriolespindle.core.outcome

/** Every reason for which it cannot be known whether a call ran; [code] is its stable name. */
public enum class UnknownReason(
    public val code: String,
) {
    ENDPOINT_LOST("endpoint_lost"),
    CLAIM_HOLDER_LOST("claim_holder_lost"),
    CLAIM_IN_PROGRESS("claim_in_progress"),
    DEADLINE_PASSED("deadline_passed"),
    TRUNCATED_ANSWER("truncated_answer"),
    STREAM_LOST("stream_lost"),
}
