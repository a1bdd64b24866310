package oriolespindle.router.logging

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes lines to [output] on a thread of its own, so that no caller waits for the reader of the output.
 *
 * At most [capacity] lines wait; further lines are dropped, and [formatDropped] forms the line that tells their number.
 */
internal class LineQueue(
    private val output: OutputStream,
    capacity: Int = CAPACITY,
    private val formatDropped: (count: Long) -> String,
) {
    private val lines = ArrayBlockingQueue<String>(capacity)
    private val dropped = AtomicLong()

    /** Lines that were taken and are not written yet. */
    private val pending = AtomicLong()

    init {
        Thread(::writeAll, "log-writer").apply { isDaemon = true }.start()
    }

    /** Takes [line] without waiting. */
    fun add(line: String) {
        pending.incrementAndGet()
        if (!lines.offer(line)) {
            pending.decrementAndGet()
            dropped.incrementAndGet()
        }
    }

    /** Waits until the lines taken so far are written, for at most [timeout]. */
    fun flush(timeout: Duration = FLUSH_TIMEOUT) {
        val deadline = System.nanoTime() + timeout.inWholeNanoseconds
        while (pending.get() > 0 && System.nanoTime() < deadline) Thread.sleep(FLUSH_POLL_INTERVAL.inWholeMilliseconds)
    }

    private fun writeAll() {
        while (true) {
            val first = lines.take()
            val droppedCount = dropped.getAndSet(0)
            if (droppedCount > 0) write(formatDropped(droppedCount))
            var next: String? = first
            while (next != null) {
                write(next)
                pending.decrementAndGet()
                next = lines.poll()
            }
            flushOutput()
        }
    }

    /** An output that cannot be written leaves nowhere to report that, so the line is given up. */
    private fun write(line: String) {
        try {
            output.write((line + "\n").toByteArray())
        } catch (_: IOException) {
            dropped.incrementAndGet()
        }
    }

    private fun flushOutput() {
        try {
            output.flush()
        } catch (_: IOException) {
            // The next write reports the same failure and counts its line as dropped.
        }
    }

    internal companion object {
        /** Some seconds of lines at the usual rate: ten of each message in a second, about 100 bytes each. */
        const val CAPACITY = 1_000

        /** How long the end of a process may be held up by the reader of its output. */
        val FLUSH_TIMEOUT: Duration = 200.milliseconds
        private val FLUSH_POLL_INTERVAL: Duration = 5.milliseconds
    }
}
