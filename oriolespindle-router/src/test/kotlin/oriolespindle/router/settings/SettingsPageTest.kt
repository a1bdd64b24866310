package oriolespindle.router.settings

import com.github.ajalt.clikt.output.HelpFormatter
import com.github.ajalt.clikt.parameters.options.Option
import com.github.ajalt.clikt.parameters.options.OptionWithValues
import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import oriolespindle.router.RouterCommand
import oriolespindle.router.documentation.DocumentationPage
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import java.nio.file.Files
import java.nio.file.Path

/** Guards against options, defaults and ranges in docs/settings.md that differ from the code. */
class SettingsPageTest {
    @TempDir
    lateinit var folder: Path

    private val page = DocumentationPage("settings.md")

    // Clikt describes options only in the context of a parsed command line.
    private val command = RouterCommand(emptyList()).also { it.test("--help") }
    private val options = command.registeredOptions().filterNot { "--help" in it.names }

    @Test
    fun `the table on the page lists the options as the code defines them`() {
        val table = options.joinToString("\n") { row(it) }
        val before = page.text.substringBefore(TABLE_START)
        val after = page.text.substringAfter(TABLE_END)
        page.verify("$before$TABLE_START\n\n$HEADER\n$table\n\n$TABLE_END$after")
    }

    @Test
    fun `both bounds of every range are accepted and the values next to them outside are rejected`() {
        val ranges = options.mapNotNull { option -> range(option)?.let { option.names.first() to it } }

        expectThat(ranges).isNotEmpty()
        ranges.forEach { (flag, range) ->
            val values = listOf(range.first - 1, range.first, range.last, range.last + 1)
            expectThat(values.map { exitCode("$flag=$it") }).describedAs(flag).containsExactly(1, 0, 0, 1)
        }
    }

    @Test
    fun `every integer option has a range`() {
        val numbers = options.filter { type(it) == "integer" }
        expectThat(numbers.filter { range(it) == null }.map { it.names }).isEqualTo(emptyList())
    }

    private fun exitCode(flag: String): Int {
        val key = Files.writeString(folder.resolve("fleet-key"), "a-fleet-key-of-the-tests").toString()
        val addresses = listOf("callers", "administration", "peers", "platform").map { "--$it=127.0.0.1:9000" }
        val required = listOf("--instance-id=r1", "--zone=z1", "--fleet-key-file=$key") + addresses
        return RouterCommand(emptyList()).test(required + flag + "--check").statusCode
    }

    private fun row(option: Option): String {
        val flag = option.names.first()
        val variable = (option as OptionWithValues<*, *, *>).envvar?.let { "`$it`" } ?: "none"
        val range = range(option)?.let { "${it.first} to ${it.last}" } ?: "-"
        val unit = if (flag.endsWith("-ms")) "milliseconds" else "-"
        val cells = listOf("`$flag`", variable, type(option), range, unit, default(option), help(option))
        return cells.joinToString(" | ", "| ", " |")
    }

    private fun type(option: Option): String {
        val metavar = option.metavar(command.currentContext)
        return when {
            metavar == null -> "flag"
            metavar == "int" -> "integer"
            "file" in option.names.first() || "PEM file" in help(option) -> "file"
            else -> metavar.trim('(', ')').replace("|", " or ")
        }
    }

    private fun range(option: Option): LongRange? {
        val (first, last) = RANGE.find(help(option))?.destructured ?: return null
        return first.toLong()..last.toLong()
    }

    private fun default(option: Option): String {
        val default = option.helpTags[HelpFormatter.Tags.DEFAULT]
        return when {
            HelpFormatter.Tags.REQUIRED in option.helpTags -> "required"
            default.isNullOrEmpty() || default == "[]" -> "none"
            else -> "`${default.lowercase()}`"
        }
    }

    private fun help(option: Option): String = option.optionHelp(command.currentContext)

    private companion object {
        const val TABLE_START = "<!-- The table is written by SettingsPageTest. -->"
        const val TABLE_END = "<!-- End of the table. -->"
        const val HEADER =
            "| flag | environment variable | type | range | unit | default | help |\n|---|---|---|---|---|---|---|"
        val RANGE = Regex("""\((\d+) to (\d+)\)""")
    }
}
