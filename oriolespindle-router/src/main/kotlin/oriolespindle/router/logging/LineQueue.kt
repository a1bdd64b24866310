package oriolespindle.router.logging

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Writes lines to [output] on a dedicated thread, so that a slow reader of the output blocks no caller.
 *
 * At most [capacity] lines are queued. Further lines are dropped; [formatDropped] formats the line with their count.
 */
internal class LineQueue(
    private val output: OutputStream,
    capacity: Int = CAPACITY,
    private val formatDropped: (count: Long) -> String,
) {
    private val lines = ArrayBlockingQueue<String>(capacity)
    private val dropped = AtomicLong()

    /** The number of lines that are queued or being written. */
    private val pending = AtomicLong()

    init {
        Thread(::writeAll, "log-writer").apply { isDaemon = true }.start()
    }

    /** Queues [line] without blocking, or counts it as dropped if the queue is full. */
    fun add(line: String) {
        pending.incrementAndGet()
        if (!lines.offer(line)) {
            pending.decrementAndGet()
            dropped.incrementAndGet()
        }
    }

    /** Waits until the lines queued so far are written, for at most [timeout]. */
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

    /** Writes [line], or counts it as dropped if the output fails, since there is nowhere to report that. */
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
            // The next write fails in the same way and counts its line as dropped.
        }
    }

    internal companion object {
        /** A few seconds of lines at the maximum rate of ten per message and second, about 100 bytes each. */
        const val CAPACITY = 1_000

        /** The longest time for which the reader of the output may delay the end of the process. */
        val FLUSH_TIMEOUT: Duration = 200.milliseconds
        private val FLUSH_POLL_INTERVAL: Duration = 5.milliseconds
    }
}
