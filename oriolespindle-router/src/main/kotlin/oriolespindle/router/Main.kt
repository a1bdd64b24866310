package oriolespindle.router

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import oriolespindle.router.logging.EventLog
import oriolespindle.router.settings.SettingsOptions
import oriolespindle.router.settings.SettingsReport
import java.util.concurrent.CountDownLatch

/** Runs one instance of the router until the process receives a signal to stop or the instance shuts itself down. */
internal class RouterCommand(
    private val arguments: List<String>,
) : CliktCommand(name = "oriolespindle-router") {
    private val options by SettingsOptions()
    private val check by option("--check", help = "Print the effective settings and where they come from, then exit.")
        .flag()

    override fun help(context: Context): String = "Routes requests to model pipelines and plain services."

    override fun run() {
        val settings = options.settings()
        if (check) {
            echo(SettingsReport(arguments, System::getenv).text(settings))
            return
        }
        EventLog.configure(settings.logFormat)
        val stopped = CountDownLatch(1)
        val router = Router(settings, onStopped = stopped::countDown)
        router.start()
        Runtime.getRuntime().addShutdownHook(
            Thread {
                router.shutDown()
                stopped.await()
            },
        )
        stopped.await()
    }
}

public fun main(args: Array<String>) {
    RouterCommand(args.toList()).main(args)
}
