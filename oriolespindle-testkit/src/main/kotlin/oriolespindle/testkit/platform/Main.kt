package oriolespindle.testkit.platform

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import oriolespindle.testkit.http.wireJson
import oriolespindle.testkit.serveUntilStopped
import java.nio.file.Path
import kotlin.io.path.readText

private data class InitialObject(
    val kind: String,
    val name: String,
    val file: Path,
)

private class PlatformCommand : CliktCommand(name = "platform") {
    private val port by option(help = "Port on loopback; 0 takes a free one").int().default(0)
    private val controlPort by option(help = "Port that answers /_control under every fault").int().default(0)
    private val objects by option("--object", help = "Initial object: KIND/NAME=@FILE")
        .convert { parseObject(it) ?: fail("is not KIND/NAME=@FILE: $it") }
        .multiple()

    override fun run() {
        val platform = PlatformFake.start(port, controlPort)
        objects.forEach { platform.put(it.kind, it.name, wireJson.parseToJsonElement(it.file.readText())) }
        serveUntilStopped(platform, "platform", "control ${platform.controlAddress}")
    }

    private fun parseObject(text: String): InitialObject? {
        val match = Regex("([^/=]+)/([^=]+)=@(.+)").matchEntire(text) ?: return null
        val (kind, name, file) = match.destructured
        return InitialObject(kind, name, Path.of(file))
    }
}

/** Runs the fake platform as a process until it is stopped. */
public fun main(args: Array<String>): Unit = PlatformCommand().main(args)
