package oriolespindle.core.lifecycle

/** Who has said that an endpoint leaves. */
public enum class LeavingSource {
    /** The platform's list. */
    PLATFORM,

    /** The endpoint's own answer. */
    ENDPOINT,

    /** An operator's drain, which lasts until it is withdrawn. */
    OPERATOR,
}
