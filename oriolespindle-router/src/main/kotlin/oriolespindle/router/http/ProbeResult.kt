package oriolespindle.router.http

/** Whether an address takes connections. */
public enum class ProbeResult {
    /** A connection was opened and stayed open for a moment. */
    OPEN,

    /** The host refused or closed the connection, so nothing listens there. */
    CLOSED,

    /** The connection failed for a reason that may lie with this process, such as a lack of sockets or of a route. */
    FAILED,

    /** Nothing answered in time: the host is down or out of reach. */
    NO_ANSWER,
}
