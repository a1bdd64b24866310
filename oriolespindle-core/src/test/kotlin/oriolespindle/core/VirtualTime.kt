package oriolespindle.core

import oriolespindle.core.time.Timestamp
import java.util.PriorityQueue

/** Runs tasks in the order of their virtual times, and tasks of one time in the order in which they were added. */
class VirtualTime {
    private val tasks = PriorityQueue(compareBy<Pair<Timestamp, Int>>({ it.first }, { it.second }))
    private val actions = ArrayList<() -> Unit>()
    var now = Timestamp.ZERO
        private set

    fun schedule(
        at: Timestamp,
        action: () -> Unit,
    ) {
        tasks += maxOf(at, now) to actions.size
        actions += action
    }

    fun run() {
        while (true) {
            val (at, index) = tasks.poll() ?: return
            now = at
            actions[index]()
        }
    }
}
