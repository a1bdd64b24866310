package oriolespindle.core.claim

import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * What happens to a [ClaimCall].
 *
 * Each [ClaimAction.WriteClaim] and [ClaimAction.StoreOutcome] is answered by exactly one of [WriteApplied],
 * [WriteConflict], [WriteUnconfirmed] and [WriteNotApplied]; each [ClaimAction.ReadClaim] by [ReadBack] or
 * [ReadUnavailable]; each [ClaimAction.Send] by one of the endpoint events. An answer that arrives after a loss was
 * reported is dropped.
 *
 * A call without faults:
 *
 * ```
 * val call = ClaimCall(self, request)
 * call.handle(now, ClaimEvent.Start)                               // WriteClaim
 * call.handle(now, ClaimEvent.WriteApplied(version))               // Send
 * call.handle(now, ClaimEvent.EndpointAnswered(200, body, "text")) // Answer, StoreOutcome
 * call.handle(now, ClaimEvent.WriteApplied(next))                  // nothing; the call is finished
 * ```
 */
public sealed interface ClaimEvent {
    /** The caller's request has arrived. */
    public data object Start : ClaimEvent

    /** The write is in force at [version]. */
    public data class WriteApplied(
        public val version: ClaimVersion,
    ) : ClaimEvent

    /** The write was not applied because the object is at another version. */
    public data class WriteConflict(
        public val current: StoredClaim,
    ) : ClaimEvent

    /** No answer to the write came; it may be applied now, later or never. */
    public data object WriteUnconfirmed : ClaimEvent

    /** The write was certainly not applied: no connection was made, or the platform said so in a complete answer. */
    public data object WriteNotApplied : ClaimEvent

    /** The object as read, null when it does not exist. */
    public data class ReadBack(
        public val current: StoredClaim?,
    ) : ClaimEvent

    /** The read got no answer. */
    public data object ReadUnavailable : ClaimEvent

    /** A complete answer of the endpoint. */
    public class EndpointAnswered(
        public val status: Int,
        public val body: ByteArray,
        public val contentType: String? = null,
    ) : ClaimEvent

    /** The endpoint said in a complete answer that the call did not run. */
    public data class EndpointNotRun(
        public val retryAfter: Duration? = null,
    ) : ClaimEvent

    /** Bytes of the call may have reached an endpoint and no complete answer came. */
    public data object EndpointLost : ClaimEvent

    /** No byte of the call was sent or will be: no endpoint was reached, or [ClaimAction.Send.notAfter] passed. */
    public data class NotSent(
        public val reason: RefusalReason,
    ) : ClaimEvent

    /** The caller's deadline has passed. */
    public data object DeadlinePassed : ClaimEvent

    /** The process was paused for longer than the instance tolerates. */
    public data object WokeFromPause : ClaimEvent
}

/** What the owner of a [ClaimCall] does for it. */
public sealed interface ClaimAction {
    /** Writes [value] on condition that the object is at [expected], or does not exist when [expected] is null. */
    public data class WriteClaim(
        public val target: ClaimObject,
        public val value: ClaimRecord,
        public val expected: ClaimVersion?,
    ) : ClaimAction

    /** Reads the object after waiting for [after]. */
    public data class ReadClaim(
        public val target: ClaimObject,
        public val after: Duration = Duration.ZERO,
    ) : ClaimAction

    /**
     * Sends the call once.
     *
     * Just before the first byte is sent the monotonic clock must not be past [notAfter]; if it is, the event is
     * [ClaimEvent.NotSent]. The owner may try another endpoint as long as each earlier attempt is known not to have
     * run, and reports only the final result.
     */
    public data class Send(
        public val notAfter: Timestamp,
    ) : ClaimAction

    /** Replaces the claim at [expected] by [value] after waiting for [after]. */
    public data class StoreOutcome(
        public val target: ClaimObject,
        public val value: ClaimRecord,
        public val expected: ClaimVersion,
        public val after: Duration = Duration.ZERO,
    ) : ClaimAction

    /** Gives the caller the final answer; occurs exactly once for each call. */
    public data class Answer(
        public val outcome: ClaimOutcome,
    ) : ClaimAction
}

/** The final answer to one request of a claimed call. */
public sealed interface ClaimOutcome {
    /** The outcome that the answer reports. */
    public val outcome: CallOutcome

    /** The endpoint's answer; [body] is null when a repeat is answered and the body was too large to store. */
    public class Answered(
        public val status: Int,
        public val body: ByteArray?,
        public val contentType: String?,
        public val repeated: Boolean,
    ) : ClaimOutcome {
        override val outcome: CallOutcome get() = CallOutcome.Done
    }

    /** This request was not sent and never will be; an earlier request with the same key may have run. */
    public data class NotRun(
        override val outcome: CallOutcome.NotRun,
    ) : ClaimOutcome

    /** The call may have run; [retryAfter] is when a repeat may find the stored outcome, null when it never will. */
    public data class Unknown(
        override val outcome: CallOutcome.Unknown,
        public val retryAfter: Duration? = null,
    ) : ClaimOutcome
}
