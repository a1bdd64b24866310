package oriolespindle.testkit.fleet

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.absolutePathString

/**
 * A process that kills the ones registered with it when its parent is gone.
 *
 * A router does not watch its parent, and a parent that is killed with SIGKILL runs no shutdown hook.
 */
public class ProcessGuard private constructor(
    command: List<String>,
) {
    private val process = ProcessBuilder(command).redirectErrorStream(true).start()

    /** Has the process [pid] killed when this process is gone. */
    public fun register(pid: Long) {
        process.outputStream.run {
            write("$pid\n".toByteArray())
            flush()
        }
    }

    /** Ends the guard without killing anything. */
    public fun stop() {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS)
    }

    public companion object {
        /** Starts a guard whose classes are found on [classPath]. */
        public fun start(classPath: String = System.getProperty("java.class.path")): ProcessGuard {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").absolutePathString()
            val limits = listOf("-Xmx32m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
            return ProcessGuard(listOf(java) + limits + listOf("-cp", classPath, MAIN))
        }

        private const val MAIN = "oriolespindle.testkit.fleet.ProcessGuardKt"
    }
}

/** Reads one process id from each line and kills these processes at the end of the input. */
public fun main() {
    // A handle holds the start time, so that another process that has got the same id later is not killed.
    val handles = generateSequence(::readlnOrNull).mapNotNull { ProcessHandle.of(it.toLong()).orElse(null) }.toList()
    handles.forEach { it.destroyForcibly() }
}
