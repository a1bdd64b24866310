package oriolespindle.ctl

/** The result of a call to the administration API. */
internal sealed interface ApiResult<out T> {
    data class Ok<T>(
        val value: T,
    ) : ApiResult<T>

    /** The call failed with [message]; the command exits with [code]. */
    sealed interface Failure : ApiResult<Nothing> {
        val message: String
        val code: ExitCode
    }

    data class NotFound(
        override val message: String,
    ) : Failure {
        override val code: ExitCode get() = ExitCode.NOT_FOUND
    }

    /** The object is not at the expected version; [current] is null if it does not exist or was not sent. */
    data class Conflict(
        override val message: String,
        val current: StoredItem?,
    ) : Failure {
        override val code: ExitCode get() = ExitCode.CONFLICT
    }

    data class Refused(
        override val message: String,
        val violations: List<FieldViolation> = emptyList(),
    ) : Failure {
        override val code: ExitCode get() = ExitCode.REFUSED
    }

    data class NotAuthorized(
        override val message: String,
    ) : Failure {
        override val code: ExitCode get() = ExitCode.NOT_AUTHORIZED
    }

    /** The call changed nothing, or it was a read. */
    data class NotReachable(
        override val message: String,
    ) : Failure {
        override val code: ExitCode get() = ExitCode.NOT_REACHABLE
    }

    /** The call may have changed the object. */
    data class Uncertain(
        override val message: String,
    ) : Failure {
        override val code: ExitCode get() = ExitCode.UNCERTAIN
    }
}
