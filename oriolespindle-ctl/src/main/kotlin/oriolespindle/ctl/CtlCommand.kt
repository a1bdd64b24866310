package oriolespindle.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.requireObject
import kotlinx.serialization.json.JsonElement

/** A command that calls the administration API; [example] is shown by `--help`. */
internal abstract class CtlCommand(
    name: String,
    private val summary: String,
    private val example: String,
) : CliktCommand(name) {
    protected val session: Session by requireObject<Session>()
    protected val client: AdministrationClient get() = session.client

    override fun help(context: Context): String = summary

    override fun helpEpilog(context: Context): String = "Example: `oriolespindle-ctl $example`"

    /** Returns the value of a successful call, or ends the command with the exit code of the failure. */
    protected fun <T> ApiResult<T>.orFail(): T =
        when (this) {
            is ApiResult.Ok -> value
            is ApiResult.Failure -> failWith(this)
        }

    internal fun failWith(failure: ApiResult.Failure): Nothing {
        val details =
            when (failure) {
                is ApiResult.Conflict -> listOfNotNull(failure.current?.let { conflictText(it) })
                is ApiResult.Refused -> failure.violations.map { "  $it" }
                else -> emptyList()
            }
        fail(failure.code, (listOf(failure.message) + details).joinToString("\n"))
    }

    protected fun fail(
        code: ExitCode,
        message: String,
    ): Nothing = throw CliktError("Error: $message", statusCode = code.code)

    protected fun print(
        json: JsonElement,
        table: () -> Any,
    ) {
        when (session.format) {
            OutputFormat.JSON -> echo(prettyJson.encodeToString(JsonElement.serializer(), json))
            OutputFormat.TABLE -> echo(table().toString())
        }
    }

    private fun conflictText(current: StoredItem): String {
        val value = prettyJson.encodeToString(JsonElement.serializer(), current.value)
        return "the stored version is ${current.version}:\n$value"
    }
}

/** A command that only has subcommands. */
internal class CommandGroup(
    name: String,
    private val summary: String,
) : CliktCommand(name) {
    override fun help(context: Context): String = summary

    override fun run() = Unit
}
