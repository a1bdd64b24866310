package oriolespindle.core

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** Guards against core code that cannot be replayed in virtual time. */
class CorePurityTest {
    private val forbidden =
        Regex(
            """System\.(currentTimeMillis|nanoTime)|Instant\.now|Clock\.System|TimeSource\.Monotonic|Thread[.(]|""" +
                """Random\.Default|Math\.random|java\.net\.|java\.nio\.channels""",
        )

    @Test
    fun `core code reads no clock, starts no thread and does no network input or output`() {
        val sources =
            Files.walk(Path.of("src/main/kotlin")).use { paths ->
                paths.filter { it.extension == "kt" }.toList()
            }

        val offenders = sources.filter { forbidden.containsMatchIn(it.readText()) }

        expectThat(sources.size).isGreaterThan(0)
        expectThat(offenders).isEmpty()
    }
}
