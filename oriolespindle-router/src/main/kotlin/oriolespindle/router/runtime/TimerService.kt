package oriolespindle.router.runtime

import oriolespindle.core.time.Timestamp
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Reads the monotonic clock of this process. */
public fun monotonicNow(): Timestamp = Timestamp(System.nanoTime())

/** Calls subscribers at fixed intervals on one thread; a task only posts a message to its component. */
public class TimerService(
    private val executor: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { runnable ->
            Thread(runnable, "timer").apply { isDaemon = true }
        },
) : AutoCloseable {
    /** Calls [task] again and again, each time [period] after the last call has returned. */
    public fun every(
        period: Duration,
        task: () -> Unit,
    ): ScheduledFuture<*> {
        val nanos = period.inWholeNanoseconds
        return executor.scheduleWithFixedDelay(task, nanos, nanos, TimeUnit.NANOSECONDS)
    }

    /** Calls [task] once after [delay]. */
    public fun after(
        delay: Duration,
        task: () -> Unit,
    ): ScheduledFuture<*> = executor.schedule(task, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)

    override fun close() {
        executor.shutdownNow()
    }
}
