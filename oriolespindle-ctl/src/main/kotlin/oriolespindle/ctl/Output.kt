package oriolespindle.ctl

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive

/** The form in which results are printed. */
internal enum class OutputFormat { TABLE, JSON }

/** Rows under [headers], printed with aligned columns. */
internal class Table(
    private val headers: List<String>,
    private val rows: List<List<String>>,
) {
    override fun toString(): String {
        val lines = listOf(headers) + rows
        val widths = headers.indices.map { column -> lines.maxOf { it[column].length } }
        return lines.joinToString("\n") { line ->
            line.withIndex().joinToString(GAP) { (column, cell) -> cell.padEnd(widths[column]) }.trimEnd()
        }
    }

    private companion object {
        const val GAP = "  "
    }
}

/** The text of a JSON value in a table cell; strings are shown without quotation marks. */
internal fun JsonElement?.cell(): String =
    when (this) {
        null -> "-"
        is JsonPrimitive -> content
        else -> toString()
    }
