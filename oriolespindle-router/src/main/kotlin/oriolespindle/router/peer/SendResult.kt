package oriolespindle.router.peer

/** The result of sending a message to a peer; none of these confirms its delivery. */
public sealed interface SendResult {
    /** The message is queued; [dropped] older messages were dropped to make room for it. */
    public data class Queued(
        public val dropped: Int,
    ) : SendResult

    /** No address of the peer is known. */
    public data object UnknownPeer : SendResult

    /** The message does not fit in one frame. */
    public data class TooLarge(
        public val bytes: Int,
    ) : SendResult

    /** The transport is closed. */
    public data object Closed : SendResult
}
