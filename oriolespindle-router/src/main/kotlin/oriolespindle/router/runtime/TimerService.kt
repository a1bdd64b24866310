package oriolespindle.router.runtime

import oriolespindle.core.time.Timestamp
import oriolespindle.router.logging.EventLog
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Returns the current time of the monotonic clock. */
public fun monotonicNow(): Timestamp = Timestamp(System.nanoTime())

/**
 * Runs delayed and periodic tasks on one thread.
 *
 * A task must not block, since it would delay all others; it should only post a message to its component. A task that
 * throws is logged, and a periodic one is called again after its period.
 */
public class TimerService(
    private val executor: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { runnable ->
            Thread(runnable, "timer").apply { isDaemon = true }
        },
) : AutoCloseable {
    /** Calls [task] repeatedly, the first time after [period] and then [period] after each call has returned. */
    public fun every(
        period: Duration,
        task: () -> Unit,
    ): ScheduledFuture<*> {
        val nanos = period.inWholeNanoseconds
        return executor.scheduleWithFixedDelay({ run(task) }, nanos, nanos, TimeUnit.NANOSECONDS)
    }

    /** Calls [task] once after [delay]. */
    public fun after(
        delay: Duration,
        task: () -> Unit,
    ): ScheduledFuture<*> = executor.schedule({ run(task) }, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)

    /** Catches whatever [task] throws, since the executor would drop it and never run the task again. */
    private fun run(task: () -> Unit) {
        try {
            task()
        } catch (e: Throwable) {
            EventLog.warn("timer task failed", "cause" to e, "at" to e.stackTrace.firstOrNull())
        }
    }

    override fun close() {
        executor.shutdownNow()
    }
}
