package oriolespindle.router.peer

import kotlinx.coroutines.channels.Channel

/**
 * The queue of frames to one peer, bounded in number and bytes.
 *
 * When it is full, the oldest gossip message is dropped, because a later one supersedes it. If there is none, the
 * oldest message of any kind is dropped.
 */
internal class PeerQueue(
    private val maxFrames: Int,
    private val maxBytes: Int,
) {
    private class Entry(
        val frame: ByteArray,
        val message: PeerMessage,
    )

    private val entries = ArrayDeque<Entry>()
    private var bytes = 0
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /** Adds a frame and returns how many others were dropped to make room for it. */
    fun offer(
        frame: ByteArray,
        message: PeerMessage,
    ): Int =
        synchronized(this) {
            var dropped = 0
            while (entries.isNotEmpty() && (entries.size >= maxFrames || bytes + frame.size > maxBytes)) {
                val gossip = entries.indexOfFirst { it.message.isGossip }
                removeAt(maxOf(gossip, 0))
                dropped++
            }
            entries += Entry(frame, message)
            bytes += frame.size
            signal.trySend(Unit)
            dropped
        }

    /** Suspends until there is a frame and removes it. */
    suspend fun take(): Pair<ByteArray, PeerMessage> {
        while (true) {
            poll()?.let { return it }
            signal.receive()
        }
    }

    /** Suspends until there is a frame, and restores the signal for the connection that takes the frame. */
    suspend fun awaitFrame() {
        while (synchronized(this) { entries.isEmpty() }) signal.receive()
        signal.trySend(Unit)
    }

    /** Drops gossip, which would be outdated when a failed connection reopens, and returns the number dropped. */
    fun dropGossip(): Int =
        synchronized(this) {
            val gossip = entries.filter { it.message.isGossip }
            entries.removeAll(gossip.toSet())
            bytes -= gossip.sumOf { it.frame.size }
            gossip.size
        }

    private fun poll(): Pair<ByteArray, PeerMessage>? =
        synchronized(this) {
            if (entries.isEmpty()) null else removeAt(0).let { it.frame to it.message }
        }

    private fun removeAt(index: Int): Entry {
        val entry = entries.removeAt(index)
        bytes -= entry.frame.size
        return entry
    }
}
