package oriolespindle.core

import oriolespindle.core.time.Timestamp
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs steps in the order of their times, without waiting. */
internal class VirtualTime {
    private class Step(
        val at: Timestamp,
        val order: Long,
        val run: () -> Unit,
    )

    private val steps = PriorityQueue<Step>(compareBy<Step> { it.at }.thenBy { it.order })
    private var order = 0L

    var now = Timestamp.ZERO
        private set

    fun at(
        time: Timestamp,
        run: () -> Unit,
    ) {
        steps += Step(maxOf(time, now), order++, run)
    }

    fun after(
        delay: Duration,
        run: () -> Unit,
    ) = at(now + delay, run)

    fun run(duration: Duration) {
        val end = now + duration
        while (steps.isNotEmpty() && steps.peek().at <= end) {
            val step = steps.poll()
            now = maxOf(now, step.at)
            step.run()
        }
        now = end
    }

    /** Runs until no step is left. */
    fun runAll() {
        while (steps.isNotEmpty()) run(steps.peek().at - now)
    }
}
