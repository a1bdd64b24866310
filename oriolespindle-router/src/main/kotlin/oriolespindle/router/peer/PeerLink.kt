package oriolespindle.router.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import oriolespindle.core.id.InstanceId
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The queue to one peer and its connection, whichever side opened it. */
internal class PeerLink(
    private val self: InstanceId,
    val peer: InstanceId,
    @Volatile var address: String,
    private val settings: PeerTransportSettings,
    private val counters: PeerCounters,
    private val onMessage: (InstanceId, PeerMessage) -> Unit,
) {
    val queue = PeerQueue(settings.maxQueuedFrames, settings.maxQueuedBytes)
    private val current = MutableStateFlow<PeerConnection?>(null)

    /**
     * Opens a connection whenever a message waits and there is none.
     *
     * The delay after a failure doubles up to a bound. Dead peers are not dialled while nothing is sent to them.
     */
    suspend fun dial(connect: suspend (String) -> PeerConnection?) {
        var backoff = settings.initialBackoff
        while (true) {
            current.first { it == null }
            queue.awaitFrame()
            if (current.value != null) continue
            val connection = connect(address)
            if (connection != null && attach(connection)) {
                backoff = settings.initialBackoff
                continue
            }
            counters.dropped.add(queue.dropGossip().toLong())
            delay(backoff)
            backoff = nextBackoff(backoff)
        }
    }

    /** Uses [connection] unless the current one is preferred, and says whether it was of this peer. */
    fun attach(connection: PeerConnection): Boolean {
        if (connection.identity.instance != peer) {
            connection.close()
            return false
        }
        val old = current.value
        if (old != null && !replaces(connection, old)) {
            connection.close()
            return true
        }
        current.value = connection
        old?.close()
        return true
    }

    /** Runs every connection that is attached until the scope ends. */
    fun runConnections(scope: CoroutineScope) {
        scope.launch {
            current.collect { connection ->
                if (connection != null) scope.launch { run(connection) }
            }
        }
    }

    private suspend fun run(connection: PeerConnection) {
        try {
            connection.run(queue) { onMessage(peer, it) }
        } catch (e: IOException) {
            connection.close()
        } finally {
            current.compareAndSet(connection, null)
        }
    }

    /**
     * Both sides may open a connection at once; both keep the one that the lower name opened.
     *
     * A second connection to one that is not new means that the peer lost the first.
     */
    private fun replaces(
        new: PeerConnection,
        old: PeerConnection,
    ): Boolean {
        if (new.isInbound == old.isInbound || old.age > SIMULTANEOUS_OPEN_WINDOW) return true
        return new.isInbound == (peer < self)
    }

    private fun nextBackoff(backoff: Duration): Duration = minOf(backoff * 2, settings.maxBackoff)

    private companion object {
        val SIMULTANEOUS_OPEN_WINDOW = 2.seconds
    }
}
