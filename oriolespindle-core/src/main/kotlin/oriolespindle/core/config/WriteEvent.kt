package oriolespindle.core.config

import oriolespindle.core.time.Timestamp

/** An event that [ConditionalWrite] handles. */
public sealed interface WriteEvent {
    /** Starts the write; the first event of every write. */
    public data object Start : WriteEvent

    /** The platform confirmed the write, which created [version]. */
    public data class Applied(
        public val version: Revision,
    ) : WriteEvent

    /** The precondition of the write failed; [current] is the stored object, or null if it does not exist. */
    public data class Conflict(
        public val current: StoredObject?,
    ) : WriteEvent

    /** No complete answer arrived, and the write may or may not have been applied. */
    public data object AnswerLost : WriteEvent

    /** The write or read was certainly not executed, for example because no connection could be opened. */
    public data object Unavailable : WriteEvent

    /** The answer to [WriteAction.Read]; [current] is null if the object does not exist. */
    public data class ReadBack(
        public val current: StoredObject?,
    ) : WriteEvent

    /** The time of [WriteAction.Wait] has been reached or passed. */
    public data object Tick : WriteEvent
}

/** An action that [ConditionalWrite] asks its caller to perform. */
public sealed interface WriteAction {
    /** Send the write; a null [value] deletes the object, a null [expected] requires that it does not exist. */
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

    /** The write has finished with [result]; no other action follows. */
    public data class Finish(
        public val result: WriteResult,
    ) : WriteAction
}

/** The final result of a conditional write. */
public sealed interface WriteResult {
    /** The write was applied; [version] is null for a deletion that was confirmed by reading back. */
    public data class Accepted(
        public val version: Revision?,
    ) : WriteResult

    /**
     * Another write was applied first, or replaced this one before it could be confirmed.
     *
     * [current] is the object that is now in the store, or null if it does not exist.
     */
    public data class Conflict(
        public val current: StoredObject?,
    ) : WriteResult

    /** The write was certainly not applied. */
    public data object NotWritten : WriteResult

    /** The timeout passed before it was known whether the write was applied. */
    public data object Uncertain : WriteResult
}
