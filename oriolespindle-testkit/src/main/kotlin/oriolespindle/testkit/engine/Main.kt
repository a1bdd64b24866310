package oriolespindle.testkit.engine

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import oriolespindle.testkit.serveUntilStopped
import kotlin.time.Duration.Companion.milliseconds

private class EngineCommand : CliktCommand(name = "engine") {
    private val port by option(help = "Port on loopback; 0 takes a free one").int().default(0)
    private val endpoint by option(help = "Id of this endpoint").required()
    private val model by option(help = "Model that is loaded").required()
    private val first by option(help = "First layer").int().required()
    private val end by option(help = "Layer after the last one").int().required()
    private val tokenDelayMs by option(help = "Time between tokens").double().default(0.0)
    private val prefillDelayMs by option(help = "Time before the first token without a cache").double().default(0.0)
    private val tokensPerSecond by option(help = "Rate in the load report").double().default(1000.0)
    private val ignoreFence by option(help = "Accepts orders with any fencing token").flag()
    private val maxActive by option(help = "Requests that run at the same time").int().default(256)
    private val maxSessions by option(help = "Sessions that are held").int().default(1000)
    private val loadLagMs by option(help = "Greatest age of the load report").long().default(0)

    override fun run() {
        val settings =
            EngineSettings(
                endpoint = endpoint,
                model = model,
                first = first,
                end = end,
                tokenDelay = tokenDelayMs.milliseconds,
                prefillDelay = prefillDelayMs.milliseconds,
                tokensPerSecond = tokensPerSecond,
                checksFence = !ignoreFence,
                maxActive = maxActive,
                maxSessions = maxSessions,
                loadLag = loadLagMs.milliseconds,
            )
        val engine = EngineFake.start(settings, port) { Runtime.getRuntime().halt(1) }
        serveUntilStopped(engine, "engine $endpoint")
    }
}

/** Runs a fake engine as a process until it is stopped. */
public fun main(args: Array<String>): Unit = EngineCommand().main(args)
