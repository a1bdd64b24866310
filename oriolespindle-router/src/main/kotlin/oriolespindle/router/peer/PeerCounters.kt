package oriolespindle.router.peer

import java.util.concurrent.atomic.LongAdder

/** Counters of one transport since its start. */
public class PeerCounters {
    public val framesSent: LongAdder = LongAdder()
    public val bytesSent: LongAdder = LongAdder()
    public val framesReceived: LongAdder = LongAdder()
    public val bytesReceived: LongAdder = LongAdder()

    /** Messages dropped because a queue was full or a peer could not be reached. */
    public val dropped: LongAdder = LongAdder()

    /** Connections closed because the peer did not prove that it has the fleet key. */
    public val unauthenticated: LongAdder = LongAdder()

    /** Connections closed because of a malformed or oversized frame. */
    public val malformed: LongAdder = LongAdder()

    /** Connections closed because they were open but unresponsive. */
    public val unresponsive: LongAdder = LongAdder()
}
