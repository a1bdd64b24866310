package oriolespindle.core.stream

import oriolespindle.core.id.AttemptNumber
import oriolespindle.core.id.EndpointId
import oriolespindle.core.id.RequestId
import oriolespindle.core.outcome.RetryReason

/** Layers that an engine claims to have run, as received: [first] up to but not including [end], possibly malformed. */
public data class LayerSpan(
    public val first: Int,
    public val end: Int,
)

/** One token of an answer at its [position], counted from 0 over all attempts. */
public data class StreamToken(
    public val position: Int,
    public val text: String,
)

/** Something received for [request] on the connection of [attempt]. */
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

    /** The last line of an answer; [count] is the number of tokens of the whole answer, earlier attempts included. */
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

    /** A line that cannot be read, such as one that the end of the connection cut off. */
    public data class Unreadable(
        override val request: RequestId,
        override val attempt: AttemptNumber,
    ) : StreamEvent

    /** The connection was closed in order. */
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

/** What a [StreamAssembler] makes of one event. */
public sealed interface StreamResult {
    /** [tokens] are next in the answer and go to the caller. */
    public data class Deliver(
        public val tokens: List<StreamToken>,
    ) : StreamResult

    /** The answer is whole and has [tokens] tokens. */
    public data class Complete(
        public val tokens: Int,
    ) : StreamResult

    /** The event does not concern the answer any more or never did. */
    public data class Ignored(
        public val reason: IgnoredReason,
    ) : StreamResult

    /** The current attempt has failed; [endpoint] is the stage to blame if it is known. */
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
