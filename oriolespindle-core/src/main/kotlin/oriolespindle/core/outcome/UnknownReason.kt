package oriolespindle.core.outcome

/** The reasons why it is unknown whether a call ran; [code] is the stable name. */
public enum class UnknownReason(
    public val code: String,
) {
    ENDPOINT_LOST("endpoint_lost"),
    CLAIM_HOLDER_LOST("claim_holder_lost"),
    CLAIM_IN_PROGRESS("claim_in_progress"),
    DEADLINE_PASSED("deadline_passed"),
    TRUNCATED_ANSWER("truncated_answer"),
    STREAM_LOST("stream_lost"),
    INSTANCE_STOPPED("instance_stopped"),
}
