package oriolespindle.ctl

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import java.io.InputStream

/** A forced line break; Clikt joins the other lines of a paragraph. */
private const val LINE_BREAK = "\u0085"
private const val VARIABLE_PREFIX = "ORIOLESPINDLE_CTL_"

/** The root command with the global options; [standardInput] is read if a command gets `-` as its file. */
internal class RootCommand(
    private val standardInput: InputStream = System.`in`,
) : CliktCommand("oriolespindle-ctl") {
    private val address by option(
        "--address",
        help = "IP:PORT of the administration API of any instance.",
        envvar = VARIABLE_PREFIX + "ADDRESS",
    ).convert("IP:PORT") { text ->
        text.takeIf(::isAddress) ?: fail("must be a numeric IP address, ':' and a port")
    }

    private val tokenFile by option(
        "--token-file",
        help = "File with the operator's bearer token.",
        envvar = VARIABLE_PREFIX + "TOKEN_FILE",
    )

    private val output by option("--output", help = "Output format.", envvar = VARIABLE_PREFIX + "OUTPUT")
        .enum<OutputFormat> { it.name.lowercase() }
        .default(OutputFormat.TABLE)

    override fun help(context: Context): String =
        "Administers an oriolespindle fleet through the administration API of any of its instances."

    override fun helpEpilog(context: Context): String {
        val codes = ExitCode.entries.joinToString("") { LINE_BREAK + "${it.code}: ${it.meaning}" }
        return "Example: `oriolespindle-ctl --address 10.0.0.7:9102 --token-file token contract list`\n\n" +
            "Example: `oriolespindle-ctl contract apply - < team-a.json`\n\n" +
            "Shell completion: `source <(oriolespindle-ctl --generate-completion=bash)`\n\n" +
            "Environment: ${VARIABLE_PREFIX}ADDRESS, ${VARIABLE_PREFIX}TOKEN_FILE, ${VARIABLE_PREFIX}OUTPUT\n\n" +
            "Exit codes:$codes"
    }

    override fun run() {
        currentContext.obj = Session(output, standardInput, ::connect)
    }

    private fun connect(): AdministrationClient {
        val target = address ?: throw UsageError("--address or ${VARIABLE_PREFIX}ADDRESS is needed")
        val file = tokenFile ?: throw UsageError("--token-file or ${VARIABLE_PREFIX}TOKEN_FILE is needed")
        val token = readTextOrNull(file)?.trim() ?: throw UsageError("token file '$file' cannot be read")
        // Any other character would make the Authorization header invalid.
        if (!TOKEN.matches(token)) throw UsageError("token file '$file' must hold one line of printable ASCII")
        return AdministrationClient(target, token)
    }

    internal companion object {
        private val TOKEN = Regex("[!-~]+")
        private val ADDRESS = Regex("""(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+]):(\d{1,5})""")
        private const val MAX_PORT = 65_535
        private const val PORT_GROUP = 3

        private fun isAddress(text: String): Boolean {
            val port =
                ADDRESS
                    .matchEntire(text)
                    ?.groupValues
                    ?.get(PORT_GROUP)
                    ?.toInt() ?: return false
            return port in 1..MAX_PORT
        }

        /** Returns the root command with all subcommands. */
        fun program(standardInput: InputStream = System.`in`): RootCommand =
            RootCommand(standardInput)
                .completionOption()
                .subcommands(
                    contractCommands(),
                    endpointCommands(),
                    objectCommands(),
                    StatusCommand(),
                    LimitsCommand(),
                    configCommands(),
                )
    }
}
