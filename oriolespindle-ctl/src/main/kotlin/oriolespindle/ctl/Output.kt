package oriolespindle.ctl

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive

/** The format of printed results. */
internal enum class OutputFormat { TABLE, JSON }

/** A table that is printed with aligned columns. */
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

/** Returns the text of a JSON value for a table cell: strings without quotation marks, and `-` if it is absent. */
internal fun JsonElement?.cell(): String =
    when (this) {
        null -> "-"
        is JsonPrimitive -> content
        else -> toString()
    }
