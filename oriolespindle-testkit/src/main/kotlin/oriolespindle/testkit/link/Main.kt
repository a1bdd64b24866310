package oriolespindle.testkit.link

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import oriolespindle.testkit.serveUntilStopped

private class LinkCommand : CliktCommand(name = "link") {
    private val port by option(help = "Port on loopback; 0 takes a free one").int().default(0)
    private val controlPort by option(help = "Port of /_control; 0 takes a free one").int().default(0)
    private val target by option(help = "HOST:PORT that connections lead to").required()

    override fun run() {
        val link = LinkFake.start(target, port, controlPort)
        serveUntilStopped(link, "link", "to $target control ${link.controlAddress}")
    }
}

/** Runs a fake link as a process until it is stopped. */
public fun main(args: Array<String>): Unit = LinkCommand().main(args)
