package oriolespindle.core.config

import oriolespindle.core.time.Timestamp

/** What happened to a conditional write. */
public sealed interface WriteEvent {
    /** Begin; the first event of every write. */
    public data object Start : WriteEvent

    /** The platform answered that the write landed as [version]. */
    public data class Applied(
        public val version: Revision,
    ) : WriteEvent

    /** The platform refused the condition; [current] is the object, or null when it does not exist. */
    public data class Conflict(
        public val current: StoredObject?,
    ) : WriteEvent

    /** No complete answer arrived, and the write may or may not have landed. */
    public data object AnswerLost : WriteEvent

    /** The write or the read certainly did not take place, for example because no connection could be opened. */
    public data object Unavailable : WriteEvent

    /** The answer to [WriteAction.Read]; null when the object does not exist. */
    public data class ReadBack(
        public val current: StoredObject?,
    ) : WriteEvent

    /** The time of [WriteAction.Wait], or any later time, has come. */
    public data object Tick : WriteEvent
}

/** What a conditional write asks its caller to do. */
public sealed interface WriteAction {
    /** Send the write; a null [value] deletes and a null [expected] demands that the object does not exist. */
    public data class Write(
        public val key: ObjectKey,
        public val value: String?,
        public val expected: Revision?,
    ) : WriteAction

    /** Read the object back and deliver [WriteEvent.ReadBack]. */
    public data class Read(
        public val key: ObjectKey,
    ) : WriteAction

    /** Deliver [WriteEvent.Tick] at [until]. */
    public data class Wait(
        public val until: Timestamp,
    ) : WriteAction

    /** The write is over; no other action follows. */
    public data class Finish(
        public val result: WriteResult,
    ) : WriteAction
}

/** The final result of a conditional write. */
public sealed interface WriteResult {
    /** The write landed; [version] is null for a deletion that was confirmed by reading back. */
    public data class Accepted(
        public val version: Revision?,
    ) : WriteResult

    /**
     * Another writer was first, or replaced this write before it could be confirmed.
     *
     * [current] is the object that is in the store now, or null when it does not exist.
     */
    public data class Conflict(
        public val current: StoredObject?,
    ) : WriteResult

    /** The write certainly did not land. */
    public data object NotWritten : WriteResult

    /** It could not be learned before the deadline whether the write landed. */
    public data object Uncertain : WriteResult
}
