package oriolespindle.core.failover

import kotlin.time.Duration

/** What probes have found about an endpoint. */
public enum class Finding {
    /** Nothing listens at its address, so its process has ended. */
    ENDED,

    /** It does not answer to a connection; it or the way to it may have failed. */
    SILENT,
}

/** A stream with an endpoint on its path that was found to have ended or to be silent. */
public interface StreamState {
    /** Whether the caller takes what is written for it; otherwise the lack of events is not the endpoint's. */
    public val isRead: Boolean

    /** The time since the last event, or since the run started. */
    public val silence: Duration

    /** Whether the endpoint has evidently survived the beginning of the answer. */
    public val isAnswered: Boolean

    /** Whether endpoints have ended under requests with this content. */
    public val isSuspected: Boolean

    /** Whether the request may be sent again: its route, its attempts, the retry budget and its deadline allow it. */
    public val mayRunAgain: Boolean

    /** Whether a path without the endpoint can take the stream. */
    public val hasOtherPath: Boolean
}

/**
 * Decides whether a stream leaves an endpoint that was found to have ended or to be silent.
 *
 * The end of a process is known as such to the guard against harmful requests before its streams are moved, so the
 * guard decides about each of them. A silence is not: it may be this instance's. So a request that may be the cause of
 * it, since it was not answered yet or is suspected, is left to the limits that hold for all requests.
 */
public class MovePolicy(
    private val settings: FailoverSettings = FailoverSettings(),
) {
    /** Returns whether [stream] is moved; looks for another path last, since that takes the most time. */
    public fun mayMove(
        finding: Finding,
        stream: StreamState,
    ): Boolean {
        val isConcerned =
            when (finding) {
                Finding.ENDED -> true
                Finding.SILENT -> stream.silence >= settings.movableSilence && stream.isAnswered && !stream.isSuspected
            }
        return isConcerned && stream.isRead && stream.mayRunAgain && stream.hasOtherPath
    }
}
