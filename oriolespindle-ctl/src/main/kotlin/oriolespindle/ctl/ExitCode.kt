package oriolespindle.ctl

/** The exit codes of `oriolespindle-ctl`; scripts rely on the numbers. */
public enum class ExitCode(
    public val code: Int,
    public val meaning: String,
) {
    OK(0, "done"),

    /** Clikt reports its own usage errors with the same code. */
    USAGE(1, "the command line, a file or a setting cannot be used"),
    NOT_FOUND(2, "the object does not exist"),
    CONFLICT(3, "the object is at another version; nothing was changed"),
    REFUSED(4, "the object breaks rules; nothing was changed"),
    NOT_REACHABLE(5, "the instance or the platform cannot be reached; nothing was changed"),
    UNCERTAIN(6, "the change may or may not have landed; read the object again"),
    NOT_AUTHORIZED(7, "the token is unknown or its role does not allow this"),
    TIMEOUT(8, "the revision is not in force everywhere within the time limit"),
}
