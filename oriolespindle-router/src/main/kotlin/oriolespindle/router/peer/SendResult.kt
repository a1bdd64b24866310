package oriolespindle.router.peer

/** What became of a message to a peer; none of these says that it arrived. */
public sealed interface SendResult {
    /** The message waits for the connection; [dropped] older messages were given up for it. */
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
