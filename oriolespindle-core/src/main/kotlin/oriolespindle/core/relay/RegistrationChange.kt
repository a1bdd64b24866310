package oriolespindle.core.relay

/** The effect of one registration, or of its removal, on an [EndpointDirectory]. */
public enum class RegistrationChange {
    /** The endpoint was not known, or another process used its id before. */
    ADDED,

    /** The endpoint leaves from now on and receives no new requests. */
    LEAVING,

    /** Another field of the registration has changed. */
    UPDATED,

    /** The registration is the known one, or the removed endpoint was not known. */
    NONE,

    /** The registration is older than the known one and was ignored. */
    IGNORED,

    /** The endpoint is no longer used. */
    REMOVED,

    /** The registration may only have lapsed in a store outage, so its endpoint stays in use for a limited time. */
    LAPSED,
}
