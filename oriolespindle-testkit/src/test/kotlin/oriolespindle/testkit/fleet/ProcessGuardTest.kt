package oriolespindle.testkit.fleet

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val SIGKILL = 9

class ProcessGuardTest {
    @Test
    fun `a registered process does not outlive a parent that was killed`() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val main = "oriolespindle.testkit.fleet.ProcessGuardKt"
        val guard = ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), main).start()
        val child = ProcessBuilder("sleep", "60").start()
        try {
            // The end of the input is what the guard sees when its parent is killed.
            guard.outputStream.use { it.write("${child.pid()}\n".toByteArray()) }

            expectThat(child.waitFor(30, TimeUnit.SECONDS)).isTrue()
            expectThat(child.exitValue()).isEqualTo(128 + SIGKILL)
        } finally {
            child.destroyForcibly()
            guard.destroyForcibly().waitFor()
        }
    }
}
