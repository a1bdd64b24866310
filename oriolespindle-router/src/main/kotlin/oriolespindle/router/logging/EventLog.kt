package oriolespindle.router.logging

import org.tinylog.ThreadContext
import org.tinylog.configuration.Configuration
import org.tinylog.kotlin.Logger
import org.tinylog.provider.ProviderRegistry
import oriolespindle.router.runtime.monotonicNow
import oriolespindle.router.settings.LogFormat
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/**
 * Logs events with named fields, at most a few of each message in a second.
 *
 * A fault that hits every request would otherwise write thousands of equal lines; the next line of a message tells how
 * many were left out. Messages are constants, so the number of limits is bounded.
 */
public object EventLog {
    /** Lines of one message in a second: enough to follow one request, too few to matter under load. */
    private const val MAX_LINES_PER_SECOND = 10
    private val limiters = ConcurrentHashMap<String, FixedWindowLimiter>()

    /** Sets the format; it has to be called before the first line is logged. */
    public fun configure(format: LogFormat) {
        Configuration.set("writer", "event")
        Configuration.set("writer.format", format.name.lowercase())
        Configuration.set("level", "info")
    }

    /** Writes the lines that wait, as far as the output takes them; nothing is logged after. */
    public fun close(): Unit = ProviderRegistry.getLoggingProvider().shutdown()

    /** Logs [message], a constant, with [fields]; a null field is left out. */
    public fun info(
        message: String,
        vararg fields: Pair<String, Any?>,
    ): Unit = log(message, fields) { Logger.info(message) }

    /** Logs [message], a constant, as a warning with [fields]; a null field is left out. */
    public fun warn(
        message: String,
        vararg fields: Pair<String, Any?>,
    ): Unit = log(message, fields) { Logger.warn(message) }

    private fun log(
        message: String,
        fields: Array<out Pair<String, Any?>>,
        write: () -> Unit,
    ) {
        val suppressed = limiters.computeIfAbsent(message) { FixedWindowLimiter() }.admit() ?: return
        fields.forEach { (name, value) -> if (value != null) ThreadContext.put(name, value) }
        if (suppressed > 0) ThreadContext.put("suppressed", suppressed)
        write()
        ThreadContext.clear()
    }

    private class FixedWindowLimiter {
        private var start = monotonicNow()
        private var written = 0
        private var suppressed = 0

        /** Returns how many lines were left out since the last one, or null when this one is left out too. */
        @Synchronized
        fun admit(): Int? {
            val now = monotonicNow()
            if (now - start >= 1.seconds) {
                start = now
                written = 0
            }
            if (written >= MAX_LINES_PER_SECOND) {
                suppressed++
                return null
            }
            written++
            return suppressed.also { suppressed = 0 }
        }
    }
}
