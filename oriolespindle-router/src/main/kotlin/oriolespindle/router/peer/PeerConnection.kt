package oriolespindle.router.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** A connection to an authenticated peer. */
internal class PeerConnection(
    private val frames: FrameChannel,
    val identity: PeerIdentity,
    val isInbound: Boolean,
    private val silenceTimeout: Duration,
    private val counters: PeerCounters,
) {
    private val openedAt = TimeSource.Monotonic.markNow()
    private var unansweredPingAt: TimeMark? = null
    private var writeStartedAt: TimeMark? = null

    val age: Duration get() = openedAt.elapsedNow()

    /** Transfers frames until the connection ends, is closed or becomes unresponsive. */
    suspend fun run(
        queue: PeerQueue,
        onMessage: (PeerMessage) -> Unit,
    ) {
        try {
            coroutineScope {
                launchUntilOneEnds { readAll(onMessage) }
                launchUntilOneEnds { writeAll(queue) }
                launchUntilOneEnds { awaitSilence() }
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
            unansweredPingAt = null
            if (message is PeerMessage.Hello) return
            onMessage(message)
        }
    }

    private suspend fun writeAll(queue: PeerQueue) {
        while (true) {
            val (frame, message) = queue.take()
            writeStartedAt = TimeSource.Monotonic.markNow()
            if (message is PeerMessage.Ping && unansweredPingAt == null) unansweredPingAt = writeStartedAt
            frames.write(frame)
            writeStartedAt = null
        }
    }

    /** Returns once an open connection leaves a heartbeat unanswered or a write blocked for [silenceTimeout]. */
    private suspend fun awaitSilence() {
        while (!isSilent(unansweredPingAt) && !isSilent(writeStartedAt)) delay(silenceTimeout / CHECKS_PER_TIMEOUT)
        counters.unresponsive.increment()
    }

    private fun isSilent(since: TimeMark?): Boolean = since != null && since.elapsedNow() > silenceTimeout

    private companion object {
        const val CHECKS_PER_TIMEOUT = 5
    }
}
