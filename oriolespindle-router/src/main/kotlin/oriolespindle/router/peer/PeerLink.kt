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

/** The send queue to one peer and the connection to it, whichever side opened that. */
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
     * Opens a connection whenever a message is queued and there is none.
     *
     * Failed attempts are retried with exponential backoff. Dead peers are not dialled while nothing is sent to them.
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

    /** Uses [connection] unless the current one is preferred, and returns whether it belongs to this peer. */
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

    /** Runs every attached connection in [scope]. */
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
     * Returns whether the connection [new] replaces [old].
     *
     * If both sides open a connection at the same time, both keep the one that the instance with the lower id opened.
     * Otherwise the new one replaces the old, because it means that the peer has lost the old one.
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
