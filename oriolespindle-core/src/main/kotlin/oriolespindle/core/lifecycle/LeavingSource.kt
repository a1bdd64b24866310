package oriolespindle.core.lifecycle

/** A source that reports an endpoint as leaving. */
public enum class LeavingSource {
    /** The platform's list. */
    PLATFORM,

    /** The endpoint's own answer. */
    ENDPOINT,

    /** A drain by an operator, which lasts until it is withdrawn. */
    OPERATOR,
}
