package oriolespindle.router.documentation

import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.copyTo
import kotlin.io.path.createDirectories
import kotlin.io.path.readLines
import kotlin.io.path.writeText

/** Runs `.ci/run` with a stub of `mvn` that records its calls. */
class CiScriptTest {
    @TempDir
    private lateinit var folder: Path

    private class Result(
        val code: Int,
        val lastLine: String,
        val calls: List<String>,
    )

    @BeforeEach
    fun createWorkspace() {
        listOf(".ci", "config", "module", "bin").forEach { folder.resolve(it).createDirectories() }
        Path.of("../.ci/run").copyTo(folder.resolve(".ci/run"))
        listOf("pom.xml", "module/pom.xml", "config/settings").forEach { folder.resolve(it).writeText("") }
        val stub = folder.resolve("bin/mvn")
        stub.writeText(STUB)
        stub.toFile().setExecutable(true)
    }

    /** Runs the script; each parameter has the commands of one kind of call. */
    private fun run(
        withoutSources: String,
        offline: String,
        online: String = "exit 9",
    ): Result {
        val bin = folder.resolve("bin")
        val commands = mapOf("without_sources" to withoutSources, "offline" to offline, "online" to online)
        commands.forEach { (kind, text) -> bin.resolve(kind).writeText(text) }
        val builder = ProcessBuilder("bash", ".ci/run").directory(folder.toFile()).redirectErrorStream(true)
        builder.environment().merge("PATH", "$bin") { path, first -> "$first:$path" }
        val process = builder.start()
        val output = process.inputStream.bufferedReader().readLines()
        return Result(process.waitFor(), output.last(), bin.resolve("calls").readLines())
    }

    @Test
    fun `runs the tests once and offline with a complete library cache`() {
        val result = run(withoutSources = "exit 0", offline = "$RUN_TESTS; exit 1")

        expectThat(result.calls).containsExactly("without_sources", "offline")
        expectThat(result.lastLine).isEqualTo("3 passed, 1 failed, 1 skipped")
        expectThat(result.code).isEqualTo(1)
    }

    @Test
    fun `guards against tests that run twice when a later module lacks a library`() {
        val result = run("$LACK_LIBRARY; exit 1", "$RUN_TESTS; $LACK_LIBRARY; exit 1", online = "$RUN_TESTS; exit 0")

        expectThat(result.calls).containsExactly("without_sources", "online")
        expectThat(result.lastLine).isEqualTo("3 passed, 1 failed, 1 skipped")
        expectThat(result.code).isEqualTo(0)
    }

    @Test
    fun `uses the registry when only the build with sources lacks a library`() {
        val result = run("exit 0", offline = "$LACK_LIBRARY; exit 1", online = "$RUN_TESTS; exit 0")

        expectThat(result.calls).containsExactly("without_sources", "offline", "online")
        expectThat(result.code).isEqualTo(0)
    }

    @Test
    fun `leaves the verdict to the tests when the build without sources fails for another reason`() {
        val result = run("echo broken; exit 1", offline = "$RUN_TESTS; exit 0")

        expectThat(result.calls).containsExactly("without_sources", "offline")
        expectThat(result.code).isEqualTo(0)
    }

    private companion object {
        const val RUN_TESTS = "echo '[INFO] Tests run: 5, Failures: 1, Errors: 0, Skipped: 1'"
        const val LACK_LIBRARY = "echo 'Cannot access the registry in offline mode'"

        /** Fails without a record if the build without sources lacks the POM of a module or the lint settings. */
        val STUB =
            """
            #!/usr/bin/env bash
            cd "$(dirname "$0")" || exit 6
            case "$*" in
              *" -f "*)
                [ -f "$(dirname "$3")/module/pom.xml" ] || exit 7
                [ -f "$(dirname "$3")/config/settings" ] || exit 7
                set -- without_sources ;;
              *--offline*) set -- offline ;;
              *) set -- online ;;
            esac
            echo "$1" >> calls
            . "./$1"
            """.trimIndent()
    }
}
