package oriolespindle.core.relay

/** What the registrations tell about one process of an endpoint. */
public enum class RegistrationState {
    /** The process is registered, or its registration may only have lapsed in a store outage. */
    IN_USE,

    /** The process has announced that it leaves. */
    LEAVING,

    /** The process is not registered any more, or another one has registered at its address since. */
    GONE,
}
