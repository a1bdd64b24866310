package oriolespindle.router

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import oriolespindle.router.logging.EventLog
import oriolespindle.router.settings.SettingsOptions
import java.util.concurrent.CountDownLatch

/** Starts one instance of the router and runs until the process is told to stop. */
internal class RouterCommand : CliktCommand(name = "oriolespindle-router") {
    private val options by SettingsOptions()

    override fun help(context: Context): String = "Routes requests to model pipelines and plain services."

    override fun run() {
        val settings = options.settings()
        EventLog.configure(settings.logFormat)
        Router(settings).start()
        CountDownLatch(1).await()
    }
}

public fun main(args: Array<String>) {
    RouterCommand().main(args)
}
