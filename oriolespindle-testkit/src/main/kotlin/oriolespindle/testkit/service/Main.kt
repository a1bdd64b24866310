package oriolespindle.testkit.service

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import oriolespindle.testkit.serveUntilStopped

private class ServiceCommand : CliktCommand(name = "service") {
    private val port by option(help = "Port on loopback; 0 takes a free one").int().default(0)
    private val endpoint by option(help = "Id of this endpoint").required()

    override fun run() {
        serveUntilStopped(ServiceFake.start(endpoint, port), "service $endpoint")
    }
}

/** Runs a fake plain service as a process until it is stopped. */
public fun main(args: Array<String>): Unit = ServiceCommand().main(args)
