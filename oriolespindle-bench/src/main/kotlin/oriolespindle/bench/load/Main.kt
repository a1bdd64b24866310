package oriolespindle.bench.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import java.io.PrintStream
import java.net.URI
import kotlin.time.Duration.Companion.seconds

private class LoadCommand : CliktCommand(name = "oriolespindle-load") {
    private val target by option(help = "Caller address on loopback, as http://127.0.0.1:8080")
        .convert { text -> loopbackOrNull(text) ?: fail("must be http:// with an address of 127.0.0.0/8 and a port") }
        .required()
    private val key by option(help = "The team's key").required()
    private val model by option(help = "Model").default("demo")
    private val rate by option(help = "Requests/s (0.1 to 5000)").double().restrictTo(0.1..5_000.0).default(20.0)
    private val seconds by option(help = "Duration in seconds (1 to 600)").int().restrictTo(1..600).default(10)
    private val tokens by option(help = "Tokens for each request (1 to 4000)").int().restrictTo(1..4_000).default(32)
    private val mostInFlight by option(help = "Maximum number of requests in flight (1 to 5000)")
        .int()
        .restrictTo(1..5_000)
        .default(1_000)
    private val seed by option(help = "Seed of arrival times and prompts").long().default(1)
    private val histogram by option(help = "File for the latency of the first token, in HdrHistogram's text format")

    override fun help(context: Context): String =
        "Sends streamed completion requests to a router on loopback and measures latency and throughput."

    override fun run() {
        val settings = LoadSettings(target, key, model, rate, seconds.seconds, tokens, mostInFlight, seed)
        val summary = LoadRun(settings) { line -> echo(line, err = true) }.run()
        echo(summary.table())
        histogram?.let { file ->
            PrintStream(file).use { summary.firstToken.outputPercentileDistribution(it, MICROS_PER_MILLISECOND) }
        }
    }

    private fun loopbackOrNull(text: String): URI? =
        if (Regex("""http://127\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}""").matches(text)) URI(text) else null

    private companion object {
        const val MICROS_PER_MILLISECOND = 1_000.0
    }
}

/** Runs the load tool. */
public fun main(args: Array<String>): Unit = LoadCommand().main(args)
