package oriolespindle.router.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** A connection whose peer has proved the fleet key. */
internal class PeerConnection(
    private val frames: FrameChannel,
    val identity: PeerIdentity,
    val openedByPeer: Boolean,
    private val silenceLimit: Duration,
    private val counters: PeerCounters,
) {
    private val opened = TimeSource.Monotonic.markNow()
    private var unanswered: TimeMark? = null
    private var writing: TimeMark? = null

    val age: Duration get() = opened.elapsedNow()

    /** Transfers frames until the connection ends, is silent or is closed. */
    suspend fun run(
        queue: PeerQueue,
        onMessage: (PeerMessage) -> Unit,
    ) {
        try {
            coroutineScope {
                launchUntilOneEnds { readAll(onMessage) }
                launchUntilOneEnds { writeAll(queue) }
                launchUntilOneEnds { watch() }
            }
        } finally {
            frames.close()
        }
    }

    fun close() {
        frames.close()
    }

    private fun CoroutineScope.launchUntilOneEnds(block: suspend () -> Unit) {
        val scope = this
        launch {
            try {
                block()
            } finally {
                scope.coroutineContext.cancelChildren()
            }
        }
    }

    private suspend fun readAll(onMessage: (PeerMessage) -> Unit) {
        while (true) {
            val message = frames.read() ?: return
            unanswered = null
            if (message is PeerMessage.Hello) return
            onMessage(message)
        }
    }

    private suspend fun writeAll(queue: PeerQueue) {
        while (true) {
            val (frame, message) = queue.take()
            writing = TimeSource.Monotonic.markNow()
            if (message is PeerMessage.Ping && unanswered == null) unanswered = writing
            frames.write(frame)
            writing = null
        }
    }

    /** Ends when a heartbeat has no answer or a write makes no progress, although the connection is open. */
    private suspend fun watch() {
        while (!silent(unanswered) && !silent(writing)) delay(silenceLimit / CHECKS_PER_LIMIT)
        counters.silent.increment()
    }

    private fun silent(since: TimeMark?): Boolean = since != null && since.elapsedNow() > silenceLimit

    private companion object {
        const val CHECKS_PER_LIMIT = 5
    }
}
