package oriolespindle.ctl

import java.io.IOException
import java.io.InputStream
import java.nio.file.Files
import java.nio.file.InvalidPathException
import java.nio.file.Path

/** The values of the global options for all commands; [client] is created on first use. */
internal class Session(
    val format: OutputFormat,
    private val standardInput: InputStream,
    connect: () -> AdministrationClient,
) {
    val client: AdministrationClient by lazy(connect)

    /** Returns the text of [file], or of standard input for `-`; null if the file cannot be read. */
    fun textOrNull(file: String): String? =
        if (file == STANDARD_INPUT) standardInput.readBytes().decodeToString() else readTextOrNull(file)

    private companion object {
        const val STANDARD_INPUT = "-"
    }
}

internal fun readTextOrNull(file: String): String? =
    try {
        Files.readString(Path.of(file))
    } catch (_: IOException) {
        null
    } catch (_: InvalidPathException) {
        null
    }
