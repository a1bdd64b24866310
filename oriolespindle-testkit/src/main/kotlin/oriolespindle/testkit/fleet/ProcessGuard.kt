package oriolespindle.testkit.fleet

import java.util.concurrent.TimeUnit

/**
 * A process that kills the ones registered with it when its parent is gone.
 *
 * A router does not watch its parent, and a parent that is killed with SIGKILL runs no shutdown hook.
 */
internal class ProcessGuard(
    command: List<String>,
) {
    private val process = ProcessBuilder(command).redirectErrorStream(true).start()

    fun register(pid: Long) {
        process.outputStream.run {
            write("$pid\n".toByteArray())
            flush()
        }
    }

    /** Ends the guard without killing anything. */
    fun stop() {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS)
    }
}

/** Reads one process id from each line and kills these processes at the end of the input. */
public fun main() {
    // A handle holds the start time, so that another process that has got the same id later is not killed.
    val handles = generateSequence(::readlnOrNull).mapNotNull { ProcessHandle.of(it.toLong()).orElse(null) }.toList()
    handles.forEach { it.destroyForcibly() }
}
