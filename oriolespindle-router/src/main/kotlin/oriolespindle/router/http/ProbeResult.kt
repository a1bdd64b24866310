package oriolespindle.router.http

/** Whether an address takes connections. */
public enum class ProbeResult {
    /** A connection was opened and stayed open for a moment. */
    OPEN,

    /** The host refused or closed the connection, so nothing listens there. */
    CLOSED,

    /** Nothing answered in time: the host is down or out of reach. */
    NO_ANSWER,
}
