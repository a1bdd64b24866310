package oriolespindle.router.documentation

import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** A page under `docs` whose text is compared with the code. */
internal class DocumentationPage(
    name: String,
) {
    private val file = Path.of("../docs/$name")
    val text: String = if (Files.exists(file)) Files.readString(file) else ""

    /** Compares the page with [expected], or writes it when the system property `golden.rewrite` is true. */
    fun verify(expected: String) {
        if (System.getProperty("golden.rewrite") == "true") {
            Files.writeString(file, expected)
        } else {
            expectThat(text).isEqualTo(expected)
        }
    }

    /** The cells of the rows of all tables in the section [title], without the header rows. */
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
