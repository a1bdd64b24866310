package oriolespindle.testkit.fleet

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import java.util.concurrent.CountDownLatch

private class LocalFleetCommand : CliktCommand(name = "local-fleet") {
    private val routerClassPath by option(help = "Class path that starts the router").required()
    private val keep by option(help = "Keeps the fleet up and prints its addresses").flag()

    override fun run() {
        try {
            ProcessFleet(routerClassPath).use(::demonstrate)
        } catch (e: IllegalStateException) {
            throw CliktError(e.message, e)
        }
    }

    private fun demonstrate(processes: ProcessFleet) {
        val fleet = LocalFleet.start(processes)
        val passed = Demonstration(fleet).run()
        if (keep) keepUp(fleet)
        if (!passed) throw ProgramResult(1)
    }

    private fun keepUp(fleet: LocalFleet) {
        echo("platform ${fleet.platform.address}, control ${fleet.platform.administration}")
        (fleet.engines + fleet.services).forEach { echo("endpoint ${it.name} ${it.address}") }
        fleet.routers.forEach { echo("instance ${it.name} callers ${it.address} administration ${it.administration}") }
        echo("Try:")
        echo(
            "curl -N http://${fleet.routers.first().address}/v1/completions -H 'Authorization: Bearer $DEMO_KEY' " +
                """-d '{"model":"demo","prompt":"hello","max_tokens":8,"stream":true}'""",
        )
        echo("Press Ctrl-C to stop.")
        CountDownLatch(1).await()
    }
}

/** Starts a fleet of three zones on loopback, sends two calls through it, prints what came back and stops it. */
public fun main(args: Array<String>): Unit = LocalFleetCommand().main(args)
