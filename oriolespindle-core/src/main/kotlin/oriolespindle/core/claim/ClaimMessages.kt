package oriolespindle.core.claim

import oriolespindle.core.outcome.CallOutcome
import oriolespindle.core.outcome.RefusalReason
import oriolespindle.core.time.Timestamp
import kotlin.time.Duration

/**
 * An event that a [ClaimCall] handles.
 *
 * Each [ClaimAction.WriteClaim] and [ClaimAction.StoreOutcome] is answered by exactly one of [WriteApplied],
 * [WriteConflict], [WriteUnconfirmed] and [WriteNotApplied]; each [ClaimAction.ReadClaim] by [ReadBack] or
 * [ReadUnavailable]; each [ClaimAction.Send] by one of the endpoint events. An answer that arrives after its loss was
 * reported is dropped.
 *
 * The events of a call without faults, with the resulting actions:
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

    /** The write was applied and created [version]. */
    public data class WriteApplied(
        public val version: ClaimVersion,
    ) : ClaimEvent

    /** The write was not applied, because the object has another version than expected. */
    public data class WriteConflict(
        public val current: StoredClaim,
    ) : ClaimEvent

    /** The write was not answered; it may have been applied, or may be applied later or never. */
    public data object WriteUnconfirmed : ClaimEvent

    /** The write was not applied: no connection was made, or the platform reported so in a complete answer. */
    public data object WriteNotApplied : ClaimEvent

    /** The read was answered; [current] is null if the object does not exist. */
    public data class ReadBack(
        public val current: StoredClaim?,
    ) : ClaimEvent

    /** The read was not answered. */
    public data object ReadUnavailable : ClaimEvent

    /** The endpoint sent a complete answer. */
    public class EndpointAnswered(
        public val status: Int,
        public val body: ByteArray,
        public val contentType: String? = null,
    ) : ClaimEvent

    /** The endpoint reported in a complete answer that the call did not run. */
    public data class EndpointNotRun(
        public val retryAfter: Duration? = null,
    ) : ClaimEvent

    /** Bytes of the call may have reached an endpoint, and no complete answer arrived. */
    public data object EndpointLost : ClaimEvent

    /** No byte of the call was or will be sent: no endpoint was reached, or [ClaimAction.Send.notAfter] has passed. */
    public data class NotSent(
        public val reason: RefusalReason,
    ) : ClaimEvent

    /** The caller's deadline has passed. */
    public data object DeadlinePassed : ClaimEvent

    /** The process was paused for longer than the instance tolerates. */
    public data object WokeFromPause : ClaimEvent

    /** The process is about to end; at most the outcome can still be stored. */
    public data object InstanceEnding : ClaimEvent
}

/** An action that the owner of a [ClaimCall] performs for it. */
public sealed interface ClaimAction {
    /** Writes [value] if the object has version [expected], or does not exist if [expected] is null. */
    public data class WriteClaim(
        public val target: ClaimObject,
        public val value: ClaimRecord,
        public val expected: ClaimVersion?,
    ) : ClaimAction

    /** Reads the object after a delay of [after]. */
    public data class ReadClaim(
        public val target: ClaimObject,
        public val after: Duration = Duration.ZERO,
    ) : ClaimAction

    /**
     * Sends the call once.
     *
     * The first byte must not be sent after [notAfter] on the monotonic clock; if that time has passed, the event is
     * [ClaimEvent.NotSent]. The owner may try another endpoint as long as each earlier attempt is known not to have
     * run, and reports only the final result.
     */
    public data class Send(
        public val notAfter: Timestamp,
    ) : ClaimAction

    /** Replaces the claim with [value] if it has version [expected], after a delay of [after]. */
    public data class StoreOutcome(
        public val target: ClaimObject,
        public val value: ClaimRecord,
        public val expected: ClaimVersion,
        public val after: Duration = Duration.ZERO,
    ) : ClaimAction

    /** Sends the final answer to the caller; occurs exactly once for each call. */
    public data class Answer(
        public val outcome: ClaimOutcome,
    ) : ClaimAction
}

/** The final answer to one request for a claimed call. */
public sealed interface ClaimOutcome {
    /** The outcome that the answer reports. */
    public val outcome: CallOutcome

    /** The endpoint's answer; [body] is null if a retry is answered and the body was too large to store. */
    public class Answered(
        public val status: Int,
        public val body: ByteArray?,
        public val contentType: String?,
        public val repeated: Boolean,
    ) : ClaimOutcome {
        override val outcome: CallOutcome get() = CallOutcome.Done
    }

    /** This request was not and will not be sent; an earlier request with the same key may have run. */
    public data class NotRun(
        override val outcome: CallOutcome.NotRun,
    ) : ClaimOutcome

    /** The call may have run; a retry after [retryAfter] may find the stored outcome, or never if it is null. */
    public data class Unknown(
        override val outcome: CallOutcome.Unknown,
        public val retryAfter: Duration? = null,
    ) : ClaimOutcome
}
