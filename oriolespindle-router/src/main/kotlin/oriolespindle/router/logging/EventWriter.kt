package oriolespindle.router.logging

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.Writer
import java.time.Instant
import java.time.temporal.ChronoUnit

/**
 * Writes one line for each log entry to standard error, with the fields of its thread context.
 *
 * tinylog creates it by name from the property `writer`; the property `format` is `text` or `json`.
 */
public class EventWriter(
    private val properties: Map<String, String>,
) : Writer {
    private val isJson = properties["format"] == "json"

    override fun getRequiredLogEntryValues(): Collection<LogEntryValue> =
        listOf(
            LogEntryValue.DATE,
            LogEntryValue.LEVEL,
            LogEntryValue.CLASS,
            LogEntryValue.MESSAGE,
            LogEntryValue.EXCEPTION,
            LogEntryValue.CONTEXT,
        )

    override fun write(entry: LogEntry) {
        System.err.println(if (isJson) json(entry).toString() else text(entry))
    }

    override fun flush() {
        System.err.flush()
    }

    override fun close() {
        flush()
    }

    private fun text(entry: LogEntry): String {
        val fields =
            entry.context
                .orEmpty()
                .entries
                .joinToString("") { (name, value) -> " $name=$value" }
        val cause = entry.exception?.let { " cause=\"${it.stackTraceToString().oneLine()}\"" }.orEmpty()
        return "${time(entry)} ${entry.level} ${entry.message.oneLine()}$fields$cause"
    }

    private fun json(entry: LogEntry): JsonObject =
        buildJsonObject {
            put("time", time(entry))
            put("level", entry.level.name.lowercase())
            put("message", entry.message)
            entry.context.orEmpty().forEach { (name, value) -> put(name, value) }
            entry.exception?.let { put("cause", it.stackTraceToString()) }
        }

    private fun time(entry: LogEntry): Instant = entry.timestamp.toInstant().truncatedTo(ChronoUnit.MILLIS)

    /** Keeps text from callers from forging further log lines. */
    private fun String?.oneLine(): String = orEmpty().replace("\r", "\\r").replace("\n", "\\n")

    private fun kotlinx.serialization.json.JsonObjectBuilder.put(
        name: String,
        time: Instant,
    ) = put(name, time.toString())
}
