package oriolespindle.core

import oriolespindle.core.time.Timestamp
import java.util.PriorityQueue
import kotlin.time.Duration

/** A simulated clock that runs scheduled tasks in order of their times, without waiting. */
internal class VirtualTime {
    private class Task(
        val at: Timestamp,
        val sequence: Long,
        val run: () -> Unit,
    )

    private val tasks = PriorityQueue<Task>(compareBy<Task> { it.at }.thenBy { it.sequence })
    private var sequence = 0L

    var now = Timestamp.ZERO
        private set

    fun at(
        time: Timestamp,
        run: () -> Unit,
    ) {
        tasks += Task(maxOf(time, now), sequence++, run)
    }

    fun after(
        delay: Duration,
        run: () -> Unit,
    ) = at(now + delay, run)

    fun run(duration: Duration) {
        val end = now + duration
        while (tasks.isNotEmpty() && tasks.peek().at <= end) {
            val task = tasks.poll()
            now = maxOf(now, task.at)
            task.run()
        }
        now = end
    }

    /** Runs until no tasks are left. */
    fun runAll() {
        while (tasks.isNotEmpty()) run(tasks.peek().at - now)
    }
}
