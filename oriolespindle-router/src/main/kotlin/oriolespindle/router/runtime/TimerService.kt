package oriolespindle.router.runtime

import oriolespindle.core.time.Timestamp
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Reads the monotonic clock of this process. */
internal fun monotonicNow(): Timestamp = Timestamp(System.nanoTime())

/** Calls subscribers at fixed intervals on one thread; a subscriber only posts a message to its component. */
internal class TimerService : AutoCloseable {
    private val executor =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, "timer").apply { isDaemon = true }
        }

    fun every(
        period: Duration,
        subscriber: () -> Unit,
    ): ScheduledFuture<*> {
        val nanos = period.inWholeNanoseconds
        return executor.scheduleWithFixedDelay(subscriber, nanos, nanos, TimeUnit.NANOSECONDS)
    }

    fun after(
        delay: Duration,
        subscriber: () -> Unit,
    ): ScheduledFuture<*> = executor.schedule(subscriber, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)

    override fun close() {
        executor.shutdownNow()
    }
}
