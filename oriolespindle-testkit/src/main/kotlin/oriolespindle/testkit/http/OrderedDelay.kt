package oriolespindle.testkit.http

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Runs actions on [loop] after a delay and in the order of the calls, even when the delay becomes shorter. */
internal class OrderedDelay(
    private val loop: EventLoop,
) {
    private var lastDue = System.nanoTime()

    @Synchronized
    fun run(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        val now = System.nanoTime()
        lastDue = maxOf(lastDue, now + TimeUnit.MILLISECONDS.toNanos(delayMillis))
        loop.schedule(action, lastDue - now, TimeUnit.NANOSECONDS)
    }
}
