package oriolespindle.core.stream

import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.RetryReason

/** Layers from [first] up to but not including [end] that an engine reports to have run; not validated. */
public data class LayerSpan(
    public val first: Int,
    public val end: Int,
)

/** One token of an answer; [position] counts from 0 over all attempts. */
public data class StreamToken(
    public val position: Int,
    public val text: String,
)

/** An event on the connection of [attempt] of [request]. */
public sealed interface StreamEvent {
    public val request: RequestId
    public val attempt: AttemptNumber

    /** A line with one token and the layers that were run for it. */
    public data class Token(
        override val request: RequestId,
        override val attempt: AttemptNumber,
        public val position: Int,
        public val text: String,
        public val layers: List<LayerSpan>,
    ) : StreamEvent

    /** The last line of an answer; [count] is the number of its tokens, including those of earlier attempts. */
    public data class End(
        override val request: RequestId,
        override val attempt: AttemptNumber,
        public val count: Int,
    ) : StreamEvent

    /** A line that reports a failure; [endpoint] is the stage that failed if the engine names it. */
    public data class Error(
        override val request: RequestId,
        override val attempt: AttemptNumber,
        public val error: String,
        public val endpoint: EndpointId?,
    ) : StreamEvent

    /** A line that cannot be parsed, such as one that was truncated by the end of the connection. */
    public data class Unreadable(
        override val request: RequestId,
        override val attempt: AttemptNumber,
    ) : StreamEvent

    /** The connection was closed normally. */
    public data class Closed(
        override val request: RequestId,
        override val attempt: AttemptNumber,
    ) : StreamEvent

    /** The connection was reset. */
    public data class Reset(
        override val request: RequestId,
        override val attempt: AttemptNumber,
    ) : StreamEvent
}

/** The effect of one event on the answer of a [StreamAssembler]. */
public sealed interface StreamResult {
    /** [tokens] are the next ones of the answer and are delivered to the caller. */
    public data class Deliver(
        public val tokens: List<StreamToken>,
    ) : StreamResult

    /** The answer is complete and has [tokens] tokens. */
    public data class Complete(
        public val tokens: Int,
    ) : StreamResult

    /** The event has no effect on the answer. */
    public data class Ignored(
        public val reason: IgnoredReason,
    ) : StreamResult

    /** The current attempt has failed; [endpoint] is the faulty stage if it is known. */
    public data class Fault(
        public val reason: RetryReason,
        public val endpoint: EndpointId?,
    ) : StreamResult
}

/** Why an event was ignored; [code] is its stable name in counters and logs. */
public enum class IgnoredReason(
    public val code: String,
) {
    OTHER_REQUEST("other_request"),
    OTHER_ATTEMPT("other_attempt"),
    DUPLICATE("duplicate"),
    ENDED("ended"),
}
