package oriolespindle.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

internal fun configCommands(): CliktCommand =
    CommandGroup("config", "Follows changes of the configuration.").subcommands(ConfigWait())

private class ConfigWait :
    CtlCommand(
        "wait",
        "Waits until a revision is in force at every instance.",
        "config wait 4711 --timeout-seconds 30",
    ) {
    private val revision by argument(help = "Revision to wait for; by default the one that the instance has in force.")
        .long()
        .optional()
    private val timeoutSeconds by option("--timeout-seconds", help = "Maximum time to wait in seconds (0 to 3600).")
        .int()
        .restrictTo(0..MAX_WAIT_SECONDS)
        .default(DEFAULT_WAIT_SECONDS)

    override fun run() {
        val targetRevision = revision ?: currentRevision()
        val deadline = TimeSource.Monotonic.markNow() + timeoutSeconds.seconds
        while (true) {
            val result = client.rollout(targetRevision)
            if (result is ApiResult.Ok && result.value.inForceEverywhere) return printInForce(result.value)
            // The instance may be restarting, so an unreachable one is polled again until the deadline.
            if (result is ApiResult.Failure && result !is ApiResult.NotReachable) failWith(result)
            if (deadline.hasPassedNow()) failOnTimeout(result)
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
    }

    private fun currentRevision(): Long {
        val status = client.status().orFail()
        return revisionInForce(status) ?: fail(ExitCode.NOT_REACHABLE, "the status has no revision")
    }

    private fun printInForce(state: RolloutState) {
        print(apiJson.encodeToJsonElement(RolloutState.serializer(), state)) {
            "revision ${state.revision} is in force at all ${state.confirmed} instances"
        }
    }

    private fun failOnTimeout(last: ApiResult<RolloutState>): Nothing =
        when (last) {
            is ApiResult.Failure -> failWith(last)
            is ApiResult.Ok -> fail(ExitCode.TIMEOUT, laggingText(last.value))
        }

    private fun laggingText(state: RolloutState): String {
        val lagging = state.lagging.joinToString { "${it.instance} (at ${it.revision ?: "no known revision"})" }
        return "revision ${state.revision} is not in force everywhere after $timeoutSeconds s; lagging: $lagging"
    }

    private companion object {
        const val MAX_WAIT_SECONDS = 3600
        const val DEFAULT_WAIT_SECONDS = 60

        /** A tenth of the target of 2 s for a configuration change to be in force. */
        const val POLL_INTERVAL_MILLIS = 200L
    }
}
