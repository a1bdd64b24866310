package oriolespindle.router.logging

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.tinylog.Level
import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.Writer
import java.io.BufferedOutputStream
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.time.Instant
import java.time.temporal.ChronoUnit

/**
 * Writes each log entry as one line to standard output, with the fields of its thread context.
 *
 * tinylog instantiates this class by its name from the property `writer`; the property `format` is `text` or `json`.
 */
public class EventWriter(
    private val properties: Map<String, String>,
) : Writer {
    private val isJson = properties["format"] == "json"
    private val lines =
        LineQueue(BufferedOutputStream(FileOutputStream(FileDescriptor.out))) { count ->
            line(Instant.now(), Level.WARN, "log lines dropped", mapOf("count" to "$count"))
        }

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
        val cause = entry.exception?.stackTraceToString()
        val fields = entry.context.orEmpty() + listOfNotNull(cause?.let { "cause" to it })
        lines.add(line(entry.timestamp.toInstant(), entry.level, entry.message, fields))
    }

    override fun flush() {
        lines.flush()
    }

    override fun close() {
        flush()
    }

    private fun line(
        time: Instant,
        level: Level,
        message: String?,
        fields: Map<String, String>,
    ): String {
        val at = time.truncatedTo(ChronoUnit.MILLIS)
        if (isJson) {
            return buildJsonObject {
                put("time", at.toString())
                put("level", level.name.lowercase())
                put("message", message)
                fields.forEach { (name, value) -> put(name, value) }
            }.toString()
        }
        val pairs = fields.entries.joinToString("") { (name, value) -> " $name=${value.oneLine()}" }
        return "$at $level ${message.oneLine()}$pairs"
    }

    /** Escapes line breaks, so that text from callers cannot forge log lines. */
    private fun String?.oneLine(): String = orEmpty().replace("\r", "\\r").replace("\n", "\\n")
}
