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
 * Logs events with named fields and limits the rate of each message.
 *
 * Without the limit, a fault that affects every request would write thousands of equal lines. The next line of a
 * message reports in the field `suppressed` how many were left out. Messages are constants, which bounds the number of
 * limiters.
 */
public object EventLog {
    /** Maximum lines of one message per second: enough to follow one request and cheap under load. */
    private const val MAX_LINES_PER_SECOND = 10
    private val limiters = ConcurrentHashMap<String, FixedWindowLimiter>()

    /** Sets the output format; must be called before the first line is logged. */
    public fun configure(format: LogFormat) {
        Configuration.set("writer", "event")
        Configuration.set("writer.format", format.name.lowercase())
        Configuration.set("level", "info")
    }

    /** Flushes queued lines, as far as the output accepts them in time, and shuts logging down. */
    public fun close(): Unit = ProviderRegistry.getLoggingProvider().shutdown()

    /** Logs [message], which must be a constant, with [fields]; fields that are null are left out. */
    public fun info(
        message: String,
        vararg fields: Pair<String, Any?>,
    ): Unit = log(message, fields) { Logger.info(message) }

    /** Logs [message], which must be a constant, as a warning with [fields]; fields that are null are left out. */
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

    /** Admits at most [MAX_LINES_PER_SECOND] lines in each window of one second and counts the others. */
    private class FixedWindowLimiter {
        private var start = monotonicNow()
        private var written = 0
        private var suppressed = 0

        /** Returns the number of lines suppressed since the last written one, or null if this one is suppressed. */
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
