package oriolespindle.router.documentation

import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** A page under `docs` that is compared with the code. */
internal class DocumentationPage(
    name: String,
) {
    private val file = Path.of("../docs/$name")
    val text: String = if (Files.exists(file)) Files.readString(file) else ""

    /** Asserts that the page equals [expected], or overwrites it if the system property `golden.rewrite` is true. */
    fun verify(expected: String) {
        if (System.getProperty("golden.rewrite") == "true") {
            Files.writeString(file, expected)
        } else {
            expectThat(text).isEqualTo(expected)
        }
    }

    /** Returns the cells of the table rows in the section [title], without the header row. */
    fun rows(title: String): List<List<String>> =
        text
            .substringAfter("\n## $title\n", "")
            .substringBefore("\n## ")
            .lines()
            .filter { it.startsWith("| ") }
            .map { line -> line.trim('|').split(" | ").map { it.trim() } }
            .filterNot { it[0].startsWith("-") }
            .drop(1)
}
